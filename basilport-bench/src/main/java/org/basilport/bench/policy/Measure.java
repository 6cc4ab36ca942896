package org.basilport.bench.policy;

/** A quantity that the benchmark measures in each run. */
public enum Measure {
  /** Time between tokens in excess of the stall threshold, per 1,000 generations. */
  STALL("stall", "s/1000 gen", false),
  /** Preemptions per 1,000 generations. */
  PREEMPTIONS("preemptions", "/1000 gen", false),
  /** Largest number of preemptions of one generation. */
  MOST_PREEMPTIONS("most preemptions of one", "", false),
  /** Tokens recomputed after preemptions, per generation. */
  RECOMPUTED("recomputed", "tokens/gen", false),
  /** Median time between tokens. */
  GAP_P50("gap p50", "ms", false),
  /** 95th percentile of the time between tokens. */
  GAP_P95("gap p95", "ms", false),
  /** 99th percentile of the time between tokens. */
  GAP_P99("gap p99", "ms", false),
  /** 99.9th percentile of the time between tokens. */
  GAP_P999("gap p99.9", "ms", false),
  /** 99th percentile of the time between tokens of streamed generations. */
  STREAMED_GAP_P99("streamed gap p99", "ms", false),
  /** Median time from arrival to the first token of streamed generations. */
  FIRST_P50("first token p50", "s", false),
  /** 95th percentile of the time from arrival to the first token of streamed generations. */
  FIRST_P95("first token p95", "s", false),
  /** Mean time from arrival to the first token of all generations. */
  FIRST_MEAN("first token mean", "s", false),
  /** Tokens per second of generations that were not lost; recomputed tokens count once. */
  GOODPUT("goodput", "tokens/s", true),
  /** Mean utilisation of the key-value cache. */
  MEMORY("memory used", "share", true),
  /** Largest difference in weighted service between backlogged workspaces in a window. */
  FAIRNESS_GAP("fairness gap", "tokens/window", false),
  /** Largest difference in weighted service between workspaces backlogged at the same instance. */
  INSTANCE_FAIRNESS_GAP("fairness gap inst.", "tokens/window", false),
  /** Tokens per second of all workspaces except the greedy one. */
  OTHERS_GOODPUT("others' goodput", "tokens/s", true),
  /** Generations refused because the queue was full, per 1,000 arrivals. */
  REFUSED("refused", "/1000", false),
  /** Generations lost after their first token because a replica crashed, per 1,000 arrivals. */
  LOST("lost", "/1000", false);

  private final String title;
  private final String unit;
  private final boolean moreIsBetter;

  Measure(String title, String unit, boolean moreIsBetter) {
    this.title = title;
    this.unit = unit;
    this.moreIsBetter = moreIsBetter;
  }

  /** Returns the display name, which is also the key in JSON reports. */
  public String title() {
    return title;
  }

  /** Returns the unit, empty for plain counts. */
  public String unit() {
    return unit;
  }

  public boolean moreIsBetter() {
    return moreIsBetter;
  }
}
