package org.basilport.policy.length;

import java.util.Arrays;

/**
 * Decaying histogram of output lengths that also learns from running generations.
 *
 * <p>For each bucket of lengths it counts the generations that entered the bucket and those that
 * ended in it (the Kaplan-Meier estimator). A histogram of finished lengths alone is biased towards
 * short outputs: after a start or a change of load, the short outputs finish first, and the
 * estimate is too low exactly while the long ones fill the memory. Here a running generation counts
 * in each bucket that it has reached.
 *
 * <p>Each bucket is smoothed with {@link #PARENT_ENTRIES} entries at the hazard rate of the parent,
 * so that an estimate follows its parent until it has observations of its own. This makes the
 * fallback from route to workspace to model continuous.
 */
final class HazardHistogram implements LengthDistribution {
  /** Entries at the parent's hazard rate that are added to each bucket. */
  private static final double PARENT_ENTRIES = 8;

  /**
   * Number of entries above which the counts of a bucket are halved, so that old observations lose
   * weight.
   */
  private static final double DECAY_THRESHOLD_ENTRIES = 400;

  /** Hazard rate of each bucket before any observation. */
  private static final double PRIOR_HAZARD = 0.09;

  /** Finished generations after which the survival function is recomputed. */
  private static final int REFRESH_OBSERVATIONS = 16;

  private final HazardHistogram parent;
  private final double[] entered = new double[LengthBuckets.COUNT];
  private final double[] ended = new double[LengthBuckets.COUNT];
  private final double[] survival = new double[LengthBuckets.COUNT + 1];
  private int observations;
  private int refreshedAt = -REFRESH_OBSERVATIONS;
  private int parentVersion;
  private int version;

  HazardHistogram(HazardHistogram parent) {
    this.parent = parent;
  }

  @Override
  public void recordGrowth(long previousTokens, long currentTokens) {
    int last = LengthBuckets.indexOf(currentTokens);
    int first = previousTokens < 0 ? 0 : LengthBuckets.indexOf(previousTokens) + 1;
    if (first > last) {
      return;
    }
    for (int i = first; i <= last; i++) {
      entered[i]++;
    }
    if (parent != null) {
      parent.recordGrowth(previousTokens, currentTokens);
    }
  }

  @Override
  public void recordEnd(long length) {
    int index = LengthBuckets.indexOf(length);
    ended[index]++;
    if (entered[index] > DECAY_THRESHOLD_ENTRIES) {
      entered[index] /= 2;
      ended[index] /= 2;
    }
    observations++;
    if (parent != null) {
      parent.recordEnd(length);
    }
  }

  @Override
  public double survival(long generatedTokens, long furtherTokens) {
    refresh();
    double survivalSoFar = survivalAt(generatedTokens);
    return survivalSoFar <= 0
        ? 0
        : Math.min(1, survivalAt(generatedTokens + furtherTokens) / survivalSoFar);
  }

  private double survivalAt(long length) {
    int index = LengthBuckets.indexOf(length);
    double fraction = LengthBuckets.fraction(index, length);
    return survival[index] + fraction * (survival[index + 1] - survival[index]);
  }

  private void refresh() {
    if (parent != null) {
      parent.refresh();
    }
    int latestParentVersion = parent == null ? 0 : parent.version;
    if (observations - refreshedAt < REFRESH_OBSERVATIONS && latestParentVersion == parentVersion) {
      return;
    }
    refreshedAt = observations;
    parentVersion = latestParentVersion;
    version++;
    survival[0] = 1;
    for (int i = 0; i < LengthBuckets.COUNT; i++) {
      survival[i + 1] = survival[i] * (1 - hazard(i));
    }
  }

  private double hazard(int index) {
    double prior = parent == null ? PRIOR_HAZARD : parent.smoothedHazard(index);
    double hazard = (ended[index] + PARENT_ENTRIES * prior) / (entered[index] + PARENT_ENTRIES);
    return Math.min(1, hazard);
  }

  private double smoothedHazard(int index) {
    return 1 - survival[index + 1] / Math.max(survival[index], Double.MIN_NORMAL);
  }

  @Override
  public String toString() {
    return Arrays.toString(survival);
  }
}
