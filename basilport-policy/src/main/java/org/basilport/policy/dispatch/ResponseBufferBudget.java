package org.basilport.policy.dispatch;

/**
 * Limits the memory of response bodies that an instance keeps until they are complete.
 *
 * <p>The load it answers: faulty servers that send bodies without end, several at the same time.
 * Each response may keep a small body in any case; a larger one needs room in a common budget, so
 * that a few endless bodies neither exhaust the memory nor displace ordinary responses. Confined to
 * one thread.
 */
public final class ResponseBufferBudget {
  /** Size that each response may keep, in bytes. */
  private static final long GUARANTEED_BYTES = 32_768;

  /** Largest body of one response, in bytes. */
  private static final long MAX_RESPONSE_BYTES = 8_388_608;

  private final long limitBytes;
  private long usedBytes;

  /**
   * Creates an unused budget.
   *
   * @param limitBytes size of all bodies above which only small ones may grow
   */
  public ResponseBufferBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Reserves memory for a part of a body.
   *
   * @param heldBytes memory that is reserved for the body so far
   * @return false if the body must not grow; nothing is reserved then
   */
  public boolean tryReserve(long heldBytes, long additionalBytes) {
    long size = heldBytes + additionalBytes;
    boolean permitted =
        size <= GUARANTEED_BYTES
            || (size <= MAX_RESPONSE_BYTES && usedBytes + additionalBytes <= limitBytes);
    if (permitted) {
      usedBytes += additionalBytes;
    }
    return permitted;
  }

  /** Returns the memory of a body that is no longer kept. */
  public void release(long bytes) {
    usedBytes -= bytes;
  }

  /** Memory of all bodies, in bytes. */
  public long usedBytes() {
    return usedBytes;
  }
}
