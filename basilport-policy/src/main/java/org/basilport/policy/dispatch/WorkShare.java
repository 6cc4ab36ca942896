package org.basilport.policy.dispatch;

/**
 * Outstanding work on a backend server.
 *
 * @param requests requests that were sent and have not ended
 * @param unreadTokens prompt tokens of generations that have not produced their first token
 * @param memoryTokens key-value memory reserved for the generations, in tokens
 */
public record WorkShare(int requests, long unreadTokens, long memoryTokens) {

  /** No outstanding work. */
  public static final WorkShare NONE = new WorkShare(0, 0, 0);

  /** Returns the sum of this and other work. */
  public WorkShare plus(WorkShare other) {
    return new WorkShare(
        requests + other.requests,
        unreadTokens + other.unreadTokens,
        memoryTokens + other.memoryTokens);
  }

  /** Returns the difference of this and other work, never below zero. */
  public WorkShare minus(WorkShare other) {
    return new WorkShare(
        Math.max(0, requests - other.requests),
        Math.max(0, unreadTokens - other.unreadTokens),
        Math.max(0, memoryTokens - other.memoryTokens));
  }
}
