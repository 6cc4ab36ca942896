package org.basilport.policy.dispatch;

/**
 * Work that one instance has in progress on a backend server.
 *
 * @param requests requests that were sent and have not ended
 * @param pendingPrefillTokens prompt tokens of generations that have not produced a token yet
 * @param memoryTokens key-value memory that the generations need, in tokens
 */
public record OutstandingWork(int requests, long pendingPrefillTokens, long memoryTokens) {

  /** No work. */
  public static final OutstandingWork NONE = new OutstandingWork(0, 0, 0);

  /** The sum of two shares. */
  public OutstandingWork plus(OutstandingWork other) {
    return new OutstandingWork(
        requests + other.requests,
        pendingPrefillTokens + other.pendingPrefillTokens,
        memoryTokens + other.memoryTokens);
  }

  /** The difference of two shares, never below zero. */
  public OutstandingWork minus(OutstandingWork other) {
    return new OutstandingWork(
        Math.max(0, requests - other.requests),
        Math.max(0, pendingPrefillTokens - other.pendingPrefillTokens),
        Math.max(0, memoryTokens - other.memoryTokens));
  }
}
