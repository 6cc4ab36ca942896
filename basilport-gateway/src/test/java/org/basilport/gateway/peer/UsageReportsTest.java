package org.basilport.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.basilport.policy.dispatch.FleetUsage;
import org.basilport.protocol.LoadReport;
import org.basilport.protocol.PeerDatagram;
import org.basilport.protocol.ServerWork;
import org.basilport.protocol.WorkspaceUsage;
import org.junit.jupiter.api.Test;

/** Usage of workspaces that instances tell each other. */
class UsageReportsTest {
  private static final int MAX_DATAGRAM_BYTES = 2_048;
  private static final String SENDER = "instance-0123456789";
  private static final long TOKENS = 9_000_000_000L;

  private final FleetUsage own = new FleetUsage(System.nanoTime());
  private final FleetUsage received = new FleetUsage(System.nanoTime());
  private boolean delayed;
  private final UsageReports writer = new UsageReports(own, () -> false);
  private final UsageReports reader = new UsageReports(received, () -> delayed);

  private LoadReport.Builder report(int servers) {
    LoadReport.Builder report =
        LoadReport.newBuilder().setInstanceId(SENDER).setIncarnation(1).setSequence(1);
    for (int i = 0; i < servers; i++) {
      report.addWork(ServerWork.newBuilder().setServerId("engine-" + i).setRequests(9));
    }
    return report;
  }

  private static int datagramBytes(LoadReport.Builder report) {
    return PeerDatagram.newBuilder()
        .setSenderId(SENDER)
        .setLoad(report)
        .build()
        .getSerializedSize();
  }

  private double receivedTokens(long workspace) {
    return received.tokens(workspace, System.nanoTime());
  }

  /** Guards against datagrams that are lost because they are too large. */
  @Test
  void staysWithinTheSizeOfADatagram() {
    for (long i = 0; i < 100; i++) {
      own.charge(Long.MAX_VALUE - i, TOKENS, System.nanoTime());
    }
    for (int servers = 0; servers < 100; servers += 7) {
      LoadReport.Builder report = report(servers);
      writer.write(report);
      assertThat(report.getWorkspaceUsageCount()).isAtMost(FleetUsage.MAX_REPORTED);
      assertThat(datagramBytes(report)).isAtMost(MAX_DATAGRAM_BYTES);
    }
  }

  /** Guards against usage that other instances do not learn. */
  @Test
  void tellsTheUsageOfEachWorkspace() {
    own.charge(1, TOKENS, System.nanoTime());
    LoadReport.Builder report = report(3);
    writer.write(report);
    reader.read(report.build());
    assertThat(receivedTokens(1)).isWithin(0.1 * TOKENS).of(TOKENS);
  }

  /** Guards against usage that was reported before a pause of this process. */
  @Test
  void ignoresReportsThatArrivedDuringAPause() {
    delayed = true;
    own.charge(1, TOKENS, System.nanoTime());
    LoadReport.Builder report = report(3);
    writer.write(report);
    reader.read(report.build());
    assertThat(receivedTokens(1)).isEqualTo(0);
  }

  /** Guards against an invalid report that replaces what is known. */
  @Test
  void ignoresInvalidReports() {
    LoadReport.Builder negative = report(0);
    negative.addWorkspaceUsage(WorkspaceUsage.newBuilder().setWorkspace(1).setTokens(-5));
    negative.addWorkspaceUsage(WorkspaceUsage.newBuilder().setWorkspace(2).setTokens(500));
    reader.read(negative.build());
    LoadReport.Builder tooMany = report(0);
    for (int i = 0; i <= FleetUsage.MAX_REPORTED; i++) {
      tooMany.addWorkspaceUsage(WorkspaceUsage.newBuilder().setWorkspace(2).setTokens(500));
    }
    reader.read(tooMany.build());
    assertThat(receivedTokens(1)).isEqualTo(0);
    assertThat(receivedTokens(2)).isEqualTo(0);
  }

  /** Guards against a workspace that gains capacity because distant cells do not know its usage. */
  @Test
  void reachAllInstancesInTurn() {
    List<InetSocketAddress> all = new ArrayList<>();
    for (int i = 1; i <= 83; i++) {
      all.add(new InetSocketAddress("127.0.0.1", i));
    }
    List<InetSocketAddress> cell = all.subList(0, 11);
    Set<InetSocketAddress> reached = new HashSet<>();
    for (int i = 0; i < 28; i++) {
      List<InetSocketAddress> receivers = writer.withDistant(cell, all);
      assertThat(receivers).containsNoDuplicates();
      assertThat(receivers).containsAtLeastElementsIn(cell);
      reached.addAll(receivers);
    }
    assertThat(reached).containsExactlyElementsIn(all);
    assertThat(writer.withDistant(List.of(), List.of())).isEmpty();
  }
}
