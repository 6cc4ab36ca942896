package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether an instance that is about to stop takes a request.
 *
 * <p>Answers restarts under load: callers use their list of addresses for some seconds more. A long
 * generation would be cut off at the end of the grace period, while another instance can complete
 * it, so it is refused at once; short requests are still served.
 */
public final class DrainAdmission {
  /** Time to the first token on a busy engine. */
  private static final long FIRST_TOKEN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Time per output token on a busy engine: a step takes 7 ms and more. */
  private static final long NANOS_PER_TOKEN = TimeUnit.MICROSECONDS.toNanos(12_000);

  private DrainAdmission() {}

  /**
   * Whether a generation ends in time whatever its length.
   *
   * @param remainingNanos time until open requests are cut off
   * @param maxOutputTokens output that it may produce; estimates are often far too low
   */
  public static boolean accepts(long remainingNanos, int maxOutputTokens) {
    return FIRST_TOKEN_NANOS + NANOS_PER_TOKEN * maxOutputTokens < remainingNanos;
  }
}
