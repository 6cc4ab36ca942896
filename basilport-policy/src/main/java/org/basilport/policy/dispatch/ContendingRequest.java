package org.basilport.policy.dispatch;

/**
 * What the order of waiting requests depends on.
 *
 * @param priority priority; 0 is the highest
 * @param workspace hash of the service and the workspace
 * @param subject hash of the last shared part of the prompt
 * @param tokens prompt tokens + 10 x expected output tokens
 */
public record ContendingRequest(int priority, long workspace, long subject, long tokens) {
  /**
   * Usage per output token, in prompt tokens: an engine takes about as long to produce an output
   * token as to prefill ten prompt tokens.
   */
  public static final int OUTPUT_TOKEN_WEIGHT = 10;

  /** Usage of a request without tokens, so that services without engines are shared by requests. */
  private static final long MIN_TOKENS = 100;

  /** Usage of a request in tokens. */
  public static long tokens(int promptTokens, long outputTokens) {
    return Math.max(MIN_TOKENS, promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens);
  }
}
