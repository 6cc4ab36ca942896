package org.basilport.bench.capacity;

import java.util.Locale;

/** Renders results as rows of a text table. */
final class CapacityTable {
  static final String HEADER =
      "inst servers  wksp | sent B/s msg/s change B  cpu %  heap KB | rd/s wr/s wat/s list/s"
          + " | poll/s poll B/s at server/s | members s servers s in force s | susp dead"
          + " | head B part B";

  private CapacityTable() {}

  static String row(CapacityResult result) {
    return String.format(
        Locale.ROOT,
        "%4d %7d %5d | %8.0f %5.1f %8.0f %6.2f %8.0f | %4.1f %4.1f %5.1f %6.1f | %6.1f %8.0f %11.1f"
            + " | %s(%d) %s(%d) %s | %d %d | %d %d",
        result.point().instances(),
        result.point().servers(),
        result.point().workspaces(),
        result.gossipSentBytes(),
        result.gossipMessages(),
        result.changeBytes(),
        result.cpuPercent(),
        result.heapBytes() / 1024,
        result.reads(),
        result.writes(),
        result.watches(),
        result.lists(),
        result.polls(),
        result.pollBytes(),
        result.pollsPerServer(),
        seconds(result.membersKnownSeconds()),
        result.fewestMembers(),
        seconds(result.serversKnownSeconds()),
        result.fewestServers(),
        seconds(result.inForceSeconds()),
        result.suspectedPairs(),
        result.deadPairs(),
        result.headBytes(),
        result.partBytes());
  }

  private static String seconds(double seconds) {
    return seconds < 0 ? "never" : String.format(Locale.ROOT, "%.2f", seconds);
  }
}
