package org.basilport.policy.dispatch;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Decides how long a watch waits at the platform's store.
 *
 * <p>The loads it answers: a store that is slow, and many watches that end at the same moment. Each
 * response proves the state at its start, so a proof is up to two calls old; with a fixed wait, a
 * slow store makes the calls longer and instances stop accepting keys although the store works. The
 * wait therefore shrinks by the delay that responses have beyond their wait, and what it gives up
 * is left to the response.
 *
 * <p>Watches that started together, or that one change has ended, would ask again together for
 * ever, and the proofs of both watchers of a cell would be old at the same moment. Each wait is
 * therefore reduced at random. Confined to one thread.
 */
public final class LongPollTiming {
  /**
   * Shortest wait as a share of the full one; a store that is never waited for is asked too often.
   */
  private static final double MIN_WAIT_SHARE = 0.15;

  /** Largest random reduction of a wait, as a share of it. */
  private static final double MAX_REDUCTION = 0.2;

  /** Weight of a smaller delay than the present estimate; a larger one counts at once. */
  private static final double DECREASE_WEIGHT = 0.3;

  private final Duration fullWait;
  private final Duration responseTimeout;
  private Duration delay = Duration.ZERO;

  /**
   * Creates the timing for a store that responds at once.
   *
   * @param fullWait wait of a call while the store is well
   * @param responseTimeout time for a response beyond the full wait
   */
  public LongPollTiming(Duration fullWait, Duration responseTimeout) {
    this.fullWait = fullWait;
    this.responseTimeout = responseTimeout;
  }

  /** Wait of the next call at the store, without its random reduction. */
  public Duration nextWait() {
    Duration shortest = Duration.ofMillis(Math.round(MIN_WAIT_SHARE * fullWait.toMillis()));
    Duration reduced = fullWait.minus(delay);
    return reduced.compareTo(shortest) < 0 ? shortest : reduced;
  }

  /**
   * Wait of the next call at the store, reduced at random.
   *
   * @param limit longest wait, which is not reduced
   */
  public Duration nextWait(Duration limit, SplittableRandom random) {
    double share = 1 - MAX_REDUCTION * random.nextDouble();
    Duration reduced = Duration.ofMillis(Math.round(share * nextWait().toMillis()));
    return reduced.compareTo(limit) < 0 ? reduced : limit;
  }

  /** Time after the start of a call after which its connection is considered unresponsive. */
  public Duration callTimeout() {
    return fullWait.plus(responseTimeout);
  }

  /** Records the time that an empty response took beyond the wait of its call. */
  public void recordDelay(Duration sample) {
    if (sample.compareTo(delay) >= 0) {
      delay = sample;
    } else {
      long change = Math.round(DECREASE_WEIGHT * delay.minus(sample).toNanos());
      delay = delay.minusNanos(change);
    }
  }

  /** Records a call without a response: the store may only be slower than expected. */
  public void recordTimeout() {
    Duration doubled = delay.multipliedBy(2);
    Duration next = doubled.compareTo(responseTimeout) < 0 ? responseTimeout : doubled;
    delay = next.compareTo(fullWait) < 0 ? next : fullWait;
  }
}
