package org.basilport.policy.dispatch;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a draining instance accepts a request.
 *
 * <p>During a restart, callers use their cached list of addresses for some seconds. A long
 * generation would be cut off at the end of the grace period although another instance could
 * complete it, so it is rejected at once; short requests are still served. Under load, new requests
 * arrive until the end of the grace period, so a call that might be cut off is rejected as well.
 */
public final class DrainAdmission {
  /** Assumed time to the first token on a busy engine. */
  private static final long FIRST_TOKEN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Assumed time per output token on a busy engine, where a decode step takes at least 7 ms. */
  private static final long NANOS_PER_TOKEN = TimeUnit.MICROSECONDS.toNanos(12_000);

  private DrainAdmission() {}

  /**
   * Whether a generation finishes in time even at its maximum length.
   *
   * @param remainingNanos time until open requests are cut off
   * @param maxOutputTokens limit of the output length; the limit is used because estimates are
   *     often far too low
   */
  public static boolean accepts(long remainingNanos, int maxOutputTokens) {
    return FIRST_TOKEN_NANOS + NANOS_PER_TOKEN * maxOutputTokens < remainingNanos;
  }

  /**
   * Whether a stream is accepted: one whose time limit ends in time, and one that its caller may
   * resume at another instance and that is expected to finish in time. The length of a stream
   * without a size is not known.
   *
   * @param remainingNanos time until open requests are cut off
   * @param maxOutputTokens limit of the output length, if its caller states one
   */
  public static boolean acceptsStream(
      long remainingNanos, Duration timeLimit, OptionalInt maxOutputTokens, boolean resumable) {
    return acceptsCall(remainingNanos, timeLimit)
        || (resumable
            && maxOutputTokens.isPresent()
            && accepts(remainingNanos, maxOutputTokens.getAsInt()));
  }

  /**
   * Whether a call has ended by then even if it uses its whole time limit.
   *
   * @param remainingNanos time until open requests are cut off
   */
  public static boolean acceptsCall(long remainingNanos, Duration timeLimit) {
    return timeLimit.toNanos() < remainingNanos;
  }
}
