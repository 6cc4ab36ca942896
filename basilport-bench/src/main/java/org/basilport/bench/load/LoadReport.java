package org.basilport.bench.load;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Figures of a load run.
 *
 * @param direct streams read from the engines themselves
 * @param daemon streams read through the daemon
 * @param seconds length of the measured window
 * @param windowTokens tokens through the daemon in the window
 * @param cpuNanos processor time of the daemon in the window
 * @param heapSteps heap at numbers of open streams
 * @param loadAverage load average of the machine at the end
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
   * Heap of the daemon with open streams.
   *
   * @param streams open streams
   * @param bytes heap in use after a full collection
   */
  public record HeapStep(long streams, long bytes) {}

  static double machineLoad() {
    return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
  }

  /** Whether every stream of both paths was whole and in order. */
  public boolean whole() {
    return direct.failed() + direct.faulty() + daemon.failed() + daemon.faulty() == 0;
  }

  /** The figures as lines of text. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add(counts("direct", direct));
    lines.add(counts("daemon", daemon));
    if (heapSteps.isEmpty()) {
      lines.add(latency("first token", direct.firstToken(), daemon.firstToken()));
      lines.add(latency("between tokens", direct.betweenTokens(), daemon.betweenTokens()));
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

  /** Growth of the heap from the first to the last step, per stream. */
  public double bytesPerStream() {
    HeapStep first = heapSteps.get(0);
    HeapStep last = heapSteps.get(heapSteps.size() - 1);
    return (double) (last.bytes() - first.bytes()) / Math.max(1, last.streams() - first.streams());
  }

  private static String counts(String path, PathResult result) {
    return String.format(
        "%s: %d started, %d completed, %d failed, %d not whole, %d tokens",
        path,
        result.started(),
        result.completed(),
        result.failed(),
        result.faulty(),
        result.tokens());
  }

  private static String latency(String name, Histogram direct, Histogram daemon) {
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
