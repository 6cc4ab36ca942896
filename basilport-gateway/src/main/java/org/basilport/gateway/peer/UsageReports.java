package org.basilport.gateway.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.basilport.policy.dispatch.FleetUsage;
import org.basilport.policy.dispatch.HeartbeatSchedule;
import org.basilport.protocol.LoadReport;
import org.basilport.protocol.WorkspaceUsage;

/**
 * Translates the usage of workspaces to and from load reports, and selects the instances of distant
 * cells that receive a report. Confined to the event loop thread.
 */
final class UsageReports {
  /** Largest datagram between instances. */
  private static final int MAX_DATAGRAM_BYTES = 2_048;

  /** Upper bound of the encoded size of the usage of one workspace. */
  private static final int ENTRY_BYTES = 24;

  /** Upper bound of what surrounds a report in its datagram, without the id of the instance. */
  private static final int ENVELOPE_BYTES = 16;

  private final FleetUsage usage;
  private final BooleanSupplier delayed;
  private int nextReceiver;

  /**
   * Creates a translation.
   *
   * @param delayed whether reports are read now that arrived before a pause of this process, so
   *     that their usage has decayed by an unknown time
   */
  UsageReports(FleetUsage usage, BooleanSupplier delayed) {
    this.usage = usage;
    this.delayed = delayed;
  }

  /** Adds usage to a report that is otherwise complete, as far as the datagram has room. */
  void write(LoadReport.Builder report) {
    int used =
        report.buildPartial().getSerializedSize()
            + report.getInstanceIdBytes().size()
            + ENVELOPE_BYTES;
    int room = Math.max(0, MAX_DATAGRAM_BYTES - used) / ENTRY_BYTES;
    usage
        .nextReport(room, System.nanoTime())
        .forEach(
            (workspace, tokens) ->
                report.addWorkspaceUsage(
                    WorkspaceUsage.newBuilder().setWorkspace(workspace).setTokens(tokens)));
  }

  /** Merges the usage that another instance reports; ignores an invalid report. */
  void read(LoadReport report) {
    if (delayed.getAsBoolean() || report.getWorkspaceUsageCount() > FleetUsage.MAX_REPORTED) {
      return;
    }
    Map<Long, Long> tokens = new LinkedHashMap<>();
    for (WorkspaceUsage reported : report.getWorkspaceUsageList()) {
      tokens.put(reported.getWorkspace(), reported.getTokens());
    }
    usage.report(report.getInstanceId(), report.getIncarnation(), tokens, System.nanoTime());
  }

  /**
   * Returns the receivers of a heartbeat together with the next ones of all instances, so that the
   * usage also reaches cells that do not share an engine with this one.
   */
  List<InetSocketAddress> withDistant(
      List<InetSocketAddress> receivers, List<InetSocketAddress> all) {
    List<InetSocketAddress> extended = new ArrayList<>(receivers);
    for (int i = 0; i < Math.min(HeartbeatSchedule.DISTANT_RECEIVERS, all.size()); i++) {
      InetSocketAddress receiver = all.get(Math.floorMod(nextReceiver++, all.size()));
      if (!extended.contains(receiver)) {
        extended.add(receiver);
      }
    }
    return extended;
  }
}
