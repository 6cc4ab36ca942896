/** Numbered events and the timeline in which each process records them. */
package org.basilport.event;
