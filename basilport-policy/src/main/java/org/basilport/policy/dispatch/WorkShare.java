package org.basilport.policy.dispatch;

/**
 * Work that one instance has in progress on a backend server.
 *
 * @param requests requests that were sent and have not ended
 * @param unreadTokens prompt tokens of generations that have not produced a token yet
 * @param memoryTokens key-value memory that the generations need, in tokens
 */
public record WorkShare(int requests, long unreadTokens, long memoryTokens) {

  /** No work. */
  public static final WorkShare NONE = new WorkShare(0, 0, 0);

  /** The sum of two shares. */
  public WorkShare plus(WorkShare other) {
    return new WorkShare(
        requests + other.requests,
        unreadTokens + other.unreadTokens,
        memoryTokens + other.memoryTokens);
  }

  /** The difference of two shares, never below zero. */
  public WorkShare minus(WorkShare other) {
    return new WorkShare(
        Math.max(0, requests - other.requests),
        Math.max(0, unreadTokens - other.unreadTokens),
        Math.max(0, memoryTokens - other.memoryTokens));
  }
}
