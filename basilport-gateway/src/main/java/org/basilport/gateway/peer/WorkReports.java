package org.basilport.gateway.peer;

import java.util.HashMap;
import java.util.Map;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.protocol.LoadReport;
import org.basilport.protocol.ServerWork;

/** Translates outstanding work to and from load reports. */
final class WorkReports {
  private WorkReports() {}

  /** Adds the work of this instance to a report. */
  static void write(LoadReport.Builder report, ServerTable servers) {
    for (BackendServer server : servers.serversWithOwnWork()) {
      OutstandingWork own = server.load().ownWork();
      report.addWork(
          ServerWork.newBuilder()
              .setServerId(server.entry().id())
              .setRequests(own.requests())
              .setUnreadTokens(own.pendingPrefillTokens())
              .setMemoryTokens(own.memoryTokens()));
    }
  }

  /** The reported work, by the id of the server. */
  static Map<String, OutstandingWork> read(LoadReport report) {
    Map<String, OutstandingWork> outstandingWork = new HashMap<>();
    for (ServerWork work : report.getWorkList()) {
      outstandingWork.put(
          work.getServerId(),
          new OutstandingWork(work.getRequests(), work.getUnreadTokens(), work.getMemoryTokens()));
    }
    return outstandingWork;
  }
}
