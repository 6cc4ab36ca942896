package org.basilport.bench.load;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Measurements of a load run.
 *
 * @param direct streams read directly from the engines
 * @param daemon streams read through the daemon
 * @param seconds length of the measured window, in seconds
 * @param windowTokens tokens read through the daemon in the window
 * @param cpuNanos processor time of the daemon in the window, in nanoseconds
 * @param heapSteps heap use by number of open streams; empty when latency was measured
 * @param loadAverage system load average at the end of the run
 */
public record LoadReport(
    PathResult direct,
    PathResult daemon,
    double seconds,
    long windowTokens,
    long cpuNanos,
    List<HeapStep> heapSteps,
    double loadAverage) {
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_MICRO = 1e3;
  private static final double BYTES_PER_MEGABYTE = 1024 * 1024;

  /**
   * Heap use with a number of open streams.
   *
   * @param streams number of open streams
   * @param bytes heap use after a full garbage collection, in bytes
   */
  public record HeapStep(long streams, long bytes) {}

  static double systemLoadAverage() {
    return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
  }

  /** Returns whether every stream of both paths was complete and in order. */
  public boolean complete() {
    return direct.failed() + direct.faulty() + daemon.failed() + daemon.faulty() == 0;
  }

  /** Returns the report as lines of text. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(formatCounts("direct", direct));
    lines.add(formatCounts("daemon", daemon));
    if (heapSteps.isEmpty()) {
      lines.add(formatLatency("first token", direct.firstToken(), daemon.firstToken()));
      lines.add(formatLatency("between tokens", direct.betweenTokens(), daemon.betweenTokens()));
      lines.add(
          String.format(
              "daemon: %.0f requests/s, %.0f tokens/s, %.1f us processor time per token",
              daemon.firstToken().getTotalCount() / seconds,
              windowTokens / seconds,
              cpuNanos / NANOS_PER_MICRO / Math.max(1, windowTokens)));
    } else {
      heapSteps.forEach(
          step ->
              lines.add(
                  String.format(
                      "heap with %d open streams: %.1f MB",
                      step.streams(), step.bytes() / BYTES_PER_MEGABYTE)));
      lines.add(String.format("heap per open stream: %.1f KB", bytesPerStream() / 1024));
    }
    lines.add(String.format("load average of the machine: %.1f", loadAverage));
    return lines;
  }

  /** Returns the heap growth per stream from the first to the last step, in bytes. */
  public double bytesPerStream() {
    HeapStep first = heapSteps.get(0);
    HeapStep last = heapSteps.get(heapSteps.size() - 1);
    return (double) (last.bytes() - first.bytes()) / Math.max(1, last.streams() - first.streams());
  }

  private static String formatCounts(String path, PathResult result) {
    return String.format(
        "%s: %d started, %d completed, %d failed, %d faulty, %d tokens",
        path,
        result.started(),
        result.completed(),
        result.failed(),
        result.faulty(),
        result.tokens());
  }

  private static String formatLatency(String name, Histogram direct, Histogram daemon) {
    return String.format(
        "%s: direct p50 %.2f p99 %.2f ms, daemon p50 %.2f p99 %.2f ms, added p50 %.2f p99 %.2f ms",
        name,
        millis(direct, 50),
        millis(direct, 99),
        millis(daemon, 50),
        millis(daemon, 99),
        millis(daemon, 50) - millis(direct, 50),
        millis(daemon, 99) - millis(direct, 99));
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
  }
}
