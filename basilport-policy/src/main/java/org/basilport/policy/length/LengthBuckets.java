package org.basilport.policy.length;

/** Buckets of output lengths whose width is a fixed share of the length. */
final class LengthBuckets {
  /** Buckets for each doubling of the length. */
  private static final int STEPS = 4;

  private static final int FIRST_SHIFT = 2;
  private static final int LARGEST_SHIFT = 16;

  /** Number of buckets; the last one has no upper bound. */
  static final int COUNT = STEPS + (LARGEST_SHIFT - FIRST_SHIFT) * STEPS + 1;

  private static final long[] LOWER = new long[COUNT + 1];

  static {
    for (int i = 0; i < COUNT; i++) {
      LOWER[i] = lowerOf(i);
    }
    LOWER[COUNT] = 2 * LOWER[COUNT - 1];
  }

  private LengthBuckets() {}

  /** Returns the bucket of a length. */
  static int indexOf(long length) {
    if (length < STEPS) {
      return (int) Math.max(0, length);
    }
    int shift = Long.SIZE - 1 - Long.numberOfLeadingZeros(length);
    if (shift >= LARGEST_SHIFT) {
      return COUNT - 1;
    }
    int step = (int) (length >>> (shift - FIRST_SHIFT)) & (STEPS - 1);
    return STEPS + (shift - FIRST_SHIFT) * STEPS + step;
  }

  /** Returns the smallest length in a bucket. */
  static long lower(int index) {
    return LOWER[index];
  }

  /** Returns the position of a length within its bucket, between 0 and 1. */
  static double fraction(int index, long length) {
    double width = LOWER[index + 1] - LOWER[index];
    return Math.min(1, (length - LOWER[index]) / width);
  }

  private static long lowerOf(int index) {
    if (index < STEPS) {
      return index;
    }
    int shift = (index - STEPS) / STEPS + FIRST_SHIFT;
    int step = (index - STEPS) % STEPS;
    return (long) (STEPS + step) << (shift - FIRST_SHIFT);
  }
}
