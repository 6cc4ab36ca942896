package org.basilport.bench.policy;

import java.util.Arrays;
import org.HdrHistogram.Histogram;
import org.basilport.policy.GenerationClass;

/** Collects the measures of one run; ignores everything before the end of the warm-up. */
final class MetricsCollector {
  /** Time between two tokens beyond which the remainder counts as stall time. */
  static final long STALL_THRESHOLD_NANOS = 250_000_000;

  private static final long MAX_GAP_MICROS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1e3;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int NANOS_PER_MICRO = 1_000;
  private static final double PER_THOUSAND = 1_000;

  private final Histogram gaps = new Histogram(MAX_GAP_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram streamedGaps = new Histogram(MAX_GAP_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram streamedFirstTokens = new Histogram(MAX_GAP_MICROS, SIGNIFICANT_DIGITS);
  private final double[] deliveredTokens = new double[ArrivalGenerator.WORKSPACES];
  private boolean active;
  private double stallNanos;
  private double firstTokenNanos;
  private long firstTokenCount;
  private long started;
  private long arrivals;
  private long preemptions;
  private long recomputedTokens;
  private int mostPreemptions;
  private long refusedCount;
  private long lostCount;
  private double lostTokens;
  private double memorySum;
  private long memorySamples;
  private double fairnessGap;
  private double instanceFairnessGap;

  void activate() {
    active = true;
  }

  boolean active() {
    return active;
  }

  void recordGap(long gapNanos, int count, int streamed) {
    if (!active) {
      return;
    }
    long micros = Math.min(MAX_GAP_MICROS, gapNanos / NANOS_PER_MICRO);
    gaps.recordValueWithCount(micros, count);
    if (streamed > 0) {
      streamedGaps.recordValueWithCount(micros, streamed);
    }
    stallNanos += (double) count * Math.max(0, gapNanos - STALL_THRESHOLD_NANOS);
  }

  void recordFirstToken(Generation generation, long nowNanos) {
    if (!active) {
      return;
    }
    started++;
    long waited = nowNanos - generation.arrival.atNanos();
    firstTokenNanos += waited;
    firstTokenCount++;
    if (generation.item.generationClass() == GenerationClass.STREAMED) {
      streamedFirstTokens.recordValue(Math.min(MAX_GAP_MICROS, waited / NANOS_PER_MICRO));
    }
  }

  void recordDelivered(int workspace, double count) {
    if (active) {
      deliveredTokens[workspace] += count;
    }
  }

  void recordArrival() {
    arrivals += active ? 1 : 0;
  }

  void recordRefusal() {
    refusedCount += active ? 1 : 0;
  }

  void recordLoss(Generation generation) {
    if (active) {
      lostCount++;
      lostTokens += generation.generatedTokens;
    }
  }

  void recordPreemption(Generation generation) {
    if (active) {
      preemptions++;
      recomputedTokens += generation.heldTokens();
      mostPreemptions = Math.max(mostPreemptions, generation.preemptions);
    }
  }

  void recordMemoryUse(double share) {
    if (active) {
      memorySum += share;
      memorySamples++;
    }
  }

  void recordInstanceFairnessGap(double gap) {
    if (active) {
      instanceFairnessGap = Math.max(instanceFairnessGap, gap);
    }
  }

  void recordFairnessGap(double gap) {
    if (active) {
      fairnessGap = Math.max(fairnessGap, gap);
    }
  }

  RunResult result(double seconds) {
    RunResult result = new RunResult();
    double generations = Math.max(1, started);
    result.put(Measure.STALL, stallNanos / NANOS_PER_SECOND * PER_THOUSAND / generations);
    result.put(Measure.PREEMPTIONS, preemptions * PER_THOUSAND / generations);
    result.put(Measure.MOST_PREEMPTIONS, mostPreemptions);
    result.put(Measure.RECOMPUTED, recomputedTokens / generations);
    result.put(Measure.GAP_P50, millis(gaps, 50));
    result.put(Measure.GAP_P95, millis(gaps, 95));
    result.put(Measure.GAP_P99, millis(gaps, 99));
    result.put(Measure.GAP_P999, millis(gaps, 99.9));
    result.put(Measure.STREAMED_GAP_P99, millis(streamedGaps, 99));
    result.put(Measure.FIRST_P50, millis(streamedFirstTokens, 50) / PER_THOUSAND);
    result.put(Measure.FIRST_P95, millis(streamedFirstTokens, 95) / PER_THOUSAND);
    result.put(
        Measure.FIRST_MEAN, firstTokenNanos / NANOS_PER_SECOND / Math.max(1, firstTokenCount));
    double all = Arrays.stream(deliveredTokens).sum();
    result.put(Measure.GOODPUT, (all - lostTokens) / seconds);
    result.put(Measure.MEMORY, memorySum / Math.max(1, memorySamples));
    result.put(Measure.FAIRNESS_GAP, fairnessGap);
    result.put(Measure.INSTANCE_FAIRNESS_GAP, instanceFairnessGap);
    result.put(
        Measure.OTHERS_GOODPUT,
        (all - deliveredTokens[ArrivalGenerator.GREEDY_WORKSPACE]) / seconds);
    result.put(Measure.REFUSED, refusedCount * PER_THOUSAND / Math.max(1, arrivals));
    result.put(Measure.LOST, lostCount * PER_THOUSAND / Math.max(1, arrivals));
    return result;
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
