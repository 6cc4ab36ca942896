/** Gossip membership of entry instances, and selection of instances for callers. */
package org.basilport.membership;
