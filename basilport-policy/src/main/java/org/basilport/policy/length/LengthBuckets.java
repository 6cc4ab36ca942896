package org.basilport.policy.length;

/**
 * Logarithmic buckets of output lengths. Each length below {@code 1 << MIN_SHIFT} has a bucket of
 * its own.
 */
final class LengthBuckets {
  /** Number of buckets per doubling of the length. */
  private static final int BUCKETS_PER_DOUBLING = 4;

  /** Binary logarithm of the length at which the logarithmic buckets start. */
  private static final int MIN_SHIFT = 2;

  /** Binary logarithm of the lower bound of the last bucket. */
  private static final int MAX_SHIFT = 16;

  /** Number of buckets; the last one has no upper bound. */
  static final int COUNT =
      BUCKETS_PER_DOUBLING + (MAX_SHIFT - MIN_SHIFT) * BUCKETS_PER_DOUBLING + 1;

  private static final long[] LOWER_BOUNDS = new long[COUNT + 1];

  static {
    for (int i = 0; i < COUNT; i++) {
      LOWER_BOUNDS[i] = lowerBoundOf(i);
    }
    LOWER_BOUNDS[COUNT] = 2 * LOWER_BOUNDS[COUNT - 1];
  }

  private LengthBuckets() {}

  /** Returns the bucket of a length. */
  static int indexOf(long length) {
    if (length < BUCKETS_PER_DOUBLING) {
      return (int) Math.max(0, length);
    }
    int shift = Long.SIZE - 1 - Long.numberOfLeadingZeros(length);
    if (shift >= MAX_SHIFT) {
      return COUNT - 1;
    }
    int step = (int) (length >>> (shift - MIN_SHIFT)) & (BUCKETS_PER_DOUBLING - 1);
    return BUCKETS_PER_DOUBLING + (shift - MIN_SHIFT) * BUCKETS_PER_DOUBLING + step;
  }

  /** Returns the lower bound of a bucket, inclusive. */
  static long lowerBound(int index) {
    return LOWER_BOUNDS[index];
  }

  /** Returns the position of a length within its bucket, between 0 and 1. */
  static double fraction(int index, long length) {
    double width = LOWER_BOUNDS[index + 1] - LOWER_BOUNDS[index];
    return Math.min(1, (length - LOWER_BOUNDS[index]) / width);
  }

  private static long lowerBoundOf(int index) {
    if (index < BUCKETS_PER_DOUBLING) {
      return index;
    }
    int shift = (index - BUCKETS_PER_DOUBLING) / BUCKETS_PER_DOUBLING + MIN_SHIFT;
    int step = (index - BUCKETS_PER_DOUBLING) % BUCKETS_PER_DOUBLING;
    return (long) (BUCKETS_PER_DOUBLING + step) << (shift - MIN_SHIFT);
  }
}
