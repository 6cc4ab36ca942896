package org.basilport.bench.policy;

import java.util.Arrays;
import org.HdrHistogram.Histogram;
import org.basilport.policy.GenerationClass;

/** Collects the measures of one run after its warm-up. */
final class MetricsCollector {
  /** A longer gap between two tokens counts as a stall, from here on. */
  static final long STALL_NANOS = 250_000_000;

  private static final long LARGEST_GAP_MICROS = 3_600_000_000L;
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1e3;
  private static final double NANOS = 1e9;
  private static final int NANOS_PER_MICRO = 1_000;
  private static final double PER_THOUSAND = 1_000;

  private final Histogram gaps = new Histogram(LARGEST_GAP_MICROS, DIGITS);
  private final Histogram streamedGaps = new Histogram(LARGEST_GAP_MICROS, DIGITS);
  private final Histogram firstStreamed = new Histogram(LARGEST_GAP_MICROS, DIGITS);
  private final double[] tokens = new double[ArrivalGenerator.WORKSPACES];
  private boolean active;
  private double stallNanos;
  private double firstNanos;
  private long firsts;
  private long started;
  private long arrivals;
  private long preemptions;
  private long recomputed;
  private int mostPreemptions;
  private long refused;
  private long lost;
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

  void gap(long gapNanos, int count, int streamed) {
    if (!active) {
      return;
    }
    long micros = Math.min(LARGEST_GAP_MICROS, gapNanos / NANOS_PER_MICRO);
    gaps.recordValueWithCount(micros, count);
    if (streamed > 0) {
      streamedGaps.recordValueWithCount(micros, streamed);
    }
    stallNanos += (double) count * Math.max(0, gapNanos - STALL_NANOS);
  }

  void first(Generation generation, long nowNanos) {
    if (!active) {
      return;
    }
    started++;
    long waited = nowNanos - generation.arrival.atNanos();
    firstNanos += waited;
    firsts++;
    if (generation.item.generationClass() == GenerationClass.STREAMED) {
      firstStreamed.recordValue(Math.min(LARGEST_GAP_MICROS, waited / NANOS_PER_MICRO));
    }
  }

  void delivered(int workspace, double count) {
    if (active) {
      tokens[workspace] += count;
    }
  }

  void arrived() {
    arrivals += active ? 1 : 0;
  }

  void refused() {
    refused += active ? 1 : 0;
  }

  void lost(Generation generation) {
    if (active) {
      lost++;
      lostTokens += generation.generated;
    }
  }

  void preempted(Generation generation) {
    if (active) {
      preemptions++;
      recomputed += generation.held();
      mostPreemptions = Math.max(mostPreemptions, generation.preemptions);
    }
  }

  void memory(double share) {
    if (active) {
      memorySum += share;
      memorySamples++;
    }
  }

  void instanceFairness(double gap) {
    if (active) {
      instanceFairnessGap = Math.max(instanceFairnessGap, gap);
    }
  }

  void fairness(double gap) {
    if (active) {
      fairnessGap = Math.max(fairnessGap, gap);
    }
  }

  RunResult result(double seconds) {
    RunResult result = new RunResult();
    double generations = Math.max(1, started);
    result.put(Measure.STALL, stallNanos / NANOS * PER_THOUSAND / generations);
    result.put(Measure.PREEMPTIONS, preemptions * PER_THOUSAND / generations);
    result.put(Measure.MOST_PREEMPTIONS, mostPreemptions);
    result.put(Measure.RECOMPUTED, recomputed / generations);
    result.put(Measure.GAP_P50, millis(gaps, 50));
    result.put(Measure.GAP_P95, millis(gaps, 95));
    result.put(Measure.GAP_P99, millis(gaps, 99));
    result.put(Measure.GAP_P999, millis(gaps, 99.9));
    result.put(Measure.STREAMED_GAP_P99, millis(streamedGaps, 99));
    result.put(Measure.FIRST_P50, millis(firstStreamed, 50) / PER_THOUSAND);
    result.put(Measure.FIRST_P95, millis(firstStreamed, 95) / PER_THOUSAND);
    result.put(Measure.FIRST_MEAN, firstNanos / NANOS / Math.max(1, firsts));
    double all = Arrays.stream(tokens).sum();
    result.put(Measure.GOODPUT, (all - lostTokens) / seconds);
    result.put(Measure.MEMORY, memorySum / Math.max(1, memorySamples));
    result.put(Measure.FAIRNESS_GAP, fairnessGap);
    result.put(Measure.INSTANCE_FAIRNESS_GAP, instanceFairnessGap);
    result.put(Measure.OTHERS_GOODPUT, (all - tokens[ArrivalGenerator.GREEDY]) / seconds);
    result.put(Measure.REFUSED, refused * PER_THOUSAND / Math.max(1, arrivals));
    result.put(Measure.LOST, lost * PER_THOUSAND / Math.max(1, arrivals));
    return result;
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
