package org.basilport.bench.capacity;

import java.util.Locale;

/** Renders results as lines of a table. */
final class CapacityTable {
  static final String HEADER =
      "inst servers  wksp | sent B/s msg/s change B  cpu %  heap KB | rd/s wr/s wat/s list/s"
          + " | poll/s poll B/s at server/s | members s servers s in force s | susp dead"
          + " | head B part B";

  private CapacityTable() {}

  static String row(CapacityResult r) {
    return String.format(
        Locale.ROOT,
        "%4d %7d %5d | %8.0f %5.1f %8.0f %6.2f %8.0f | %4.1f %4.1f %5.1f %6.1f | %6.1f %8.0f %11.1f"
            + " | %s(%d) %s(%d) %s | %d %d | %d %d",
        r.point().instances(),
        r.point().servers(),
        r.point().workspaces(),
        r.gossipSentBytes(),
        r.gossipMessages(),
        r.changeBytes(),
        r.cpuPercent(),
        r.heapBytes() / 1024,
        r.reads(),
        r.writes(),
        r.watches(),
        r.lists(),
        r.polls(),
        r.pollBytes(),
        r.pollsPerServer(),
        seconds(r.membersKnownSeconds()),
        r.fewestMembers(),
        seconds(r.serversKnownSeconds()),
        r.fewestServers(),
        seconds(r.inForceSeconds()),
        r.suspectedPairs(),
        r.deadPairs(),
        r.headBytes(),
        r.partBytes());
  }

  private static String seconds(double seconds) {
    return seconds < 0 ? "never" : String.format(Locale.ROOT, "%.2f", seconds);
  }
}
