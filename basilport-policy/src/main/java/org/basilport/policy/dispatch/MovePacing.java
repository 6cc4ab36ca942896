package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a generation that moves is stopped for its last copy.
 *
 * <p>Copies of one engine run one after another. A last copy that is ordered while first copies of
 * other generations still wait would queue behind them, and its caller would see a pause of up to a
 * second. The stop is therefore put off until the first copies should be through, but not beyond
 * the time at which reclaimed engines disappear.
 */
public final class MovePacing {
  /** Reclaimed engines are gone 1.5 s to 2 s after the notice; the last copy needs some of it. */
  private static final long LATEST_STOP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_150);

  /** Link time over that of copies within a data centre: some go to another, at half the rate. */
  private static final double COPY_MARGIN = 1.6;

  private MovePacing() {}

  /**
   * Returns how long to wait before the generation is stopped.
   *
   * @param sinceNoticeNanos time since the engine announced that it leaves
   * @param memoryTokens memory of all generations of the engine at the notice, in tokens
   * @param copyNanosPerToken time to copy one token within a data centre
   */
  public static long delayNanos(
      long sinceNoticeNanos, long memoryTokens, double copyNanosPerToken) {
    long copied = Math.round(COPY_MARGIN * memoryTokens * copyNanosPerToken);
    return Math.max(0, Math.min(copied, LATEST_STOP_NANOS) - sinceNoticeNanos);
  }
}
