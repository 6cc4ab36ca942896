package org.basilport.bench.policy;

/** What the benchmark measures in a run. */
public enum Measure {
  /** Time in gaps between tokens beyond the stall threshold, per 1,000 generations. */
  STALL("stall", "s/1000 gen", false),
  /** Preemptions per 1,000 generations. */
  PREEMPTIONS("preemptions", "/1000 gen", false),
  /** Largest number of preemptions of one generation. */
  MOST_PREEMPTIONS("most preemptions of one", "", false),
  /** Tokens computed again after preemptions, per generation. */
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
  /** Tokens delivered once to generations that were not lost. */
  GOODPUT("goodput", "tokens/s", true),
  /** Share of the key-value memory in use. */
  MEMORY("memory used", "share", true),
  /** Largest gap of weighted service between backlogged workspaces in a window. */
  FAIRNESS_GAP("fairness gap", "tokens/window", false),
  /** Largest gap of weighted service between workspaces backlogged at one instance. */
  INSTANCE_FAIRNESS_GAP("fairness gap inst.", "tokens/window", false),
  /** Tokens of the workspaces other than the greedy one. */
  OTHERS_GOODPUT("others' goodput", "tokens/s", true),
  /** Generations that a full queue refused, per 1,000 arrivals. */
  REFUSED("refused", "/1000", false),
  /** Generations lost with a replica, per 1,000 arrivals. */
  LOST("lost", "/1000", false);

  private final String title;
  private final String unit;
  private final boolean moreIsBetter;

  Measure(String title, String unit, boolean moreIsBetter) {
    this.title = title;
    this.unit = unit;
    this.moreIsBetter = moreIsBetter;
  }

  /** Returns the name in reports. */
  public String title() {
    return title;
  }

  /** Returns the unit. */
  public String unit() {
    return unit;
  }

  /** Returns whether a larger value is better. */
  public boolean moreIsBetter() {
    return moreIsBetter;
  }
}
