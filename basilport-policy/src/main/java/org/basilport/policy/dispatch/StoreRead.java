package org.basilport.policy.dispatch;

/**
 * Completed linearizable read of a store.
 *
 * @param incarnation incarnation of the store that was read; 0 if it tells none
 * @param startNanos monotonic time at the start of the read
 * @param startWallMillis time of day at the start of the read
 */
public record StoreRead(long incarnation, long startNanos, long startWallMillis) {}
