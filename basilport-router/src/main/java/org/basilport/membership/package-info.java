/** Membership of entry instances by gossip, and location of instances for callers. */
package org.basilport.membership;
