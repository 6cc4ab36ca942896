/** Numbered events, and the timeline that each process keeps of them. */
package org.basilport.event;
