package org.basilport.policy.dispatch;

/**
 * Evidence of a crash with the times at which it was observed.
 *
 * @param evidence request that was at a server when the server crashed
 * @param lostAtNanos monotonic time at which the connection of the request was lost
 * @param knownAtNanos monotonic time at which this instance learned of it
 */
record CrashObservation(CrashEvidence evidence, long lostAtNanos, long knownAtNanos) {}
