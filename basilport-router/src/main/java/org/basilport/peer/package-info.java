/** Calls and gossip between entry instances. */
package org.basilport.peer;
