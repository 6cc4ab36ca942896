package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an instance reads a kind from the store itself because nobody proved its copy.
 *
 * <p>The load it answers: a fleet whose watchers are lost, so that all other instances turn to the
 * store at the same time, and go on while the store refuses them.
 */
public final class DirectReadBackoff {
  /**
   * Age of a proof above which the store is read, in milliseconds. The proof of a watcher is
   * between one and two long polls old (1.2 to 2.4 s), and an instance is not ready above 3 s.
   */
  public static final long MAX_PROOF_AGE_MILLIS = 2_700;

  /** Delay from one read to the next; the last one applies to all further reads. */
  private static final long[] DELAYS_MILLIS = {500, 1_000, 1_500};

  private int reads;
  private long lastReadNanos;

  /**
   * Whether to begin a read now, which is then taken to have begun.
   *
   * @param proofAgeMillis age of the latest proof; {@link Long#MAX_VALUE} if there is none
   */
  public boolean tryBeginRead(long proofAgeMillis, long nowNanos) {
    if (proofAgeMillis <= MAX_PROOF_AGE_MILLIS) {
      reads = 0;
      return false;
    }
    if (reads > 0) {
      long delay = DELAYS_MILLIS[Math.min(reads, DELAYS_MILLIS.length) - 1];
      if (nowNanos - lastReadNanos < TimeUnit.MILLISECONDS.toNanos(delay)) {
        return false;
      }
    }
    reads++;
    lastReadNanos = nowNanos;
    return true;
  }
}
