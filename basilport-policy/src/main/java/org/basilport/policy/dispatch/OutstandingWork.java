package org.basilport.policy.dispatch;

/**
 * Outstanding work on a backend server.
 *
 * @param requests requests that were sent and have not ended
 * @param pendingPrefillTokens prompt tokens of generations that have not produced their first token
 * @param memoryTokens key-value memory reserved for the generations, in tokens
 */
public record OutstandingWork(int requests, long pendingPrefillTokens, long memoryTokens) {

  /** No outstanding work. */
  public static final OutstandingWork NONE = new OutstandingWork(0, 0, 0);

  /** Returns the sum of this and other work. */
  public OutstandingWork plus(OutstandingWork other) {
    return new OutstandingWork(
        requests + other.requests,
        pendingPrefillTokens + other.pendingPrefillTokens,
        memoryTokens + other.memoryTokens);
  }

  /** Returns the difference of this and other work, never below zero. */
  public OutstandingWork minus(OutstandingWork other) {
    return new OutstandingWork(
        Math.max(0, requests - other.requests),
        Math.max(0, pendingPrefillTokens - other.pendingPrefillTokens),
        Math.max(0, memoryTokens - other.memoryTokens));
  }
}
