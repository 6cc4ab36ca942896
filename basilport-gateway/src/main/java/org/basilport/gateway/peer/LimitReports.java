package org.basilport.gateway.peer;

import java.util.OptionalDouble;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.policy.dispatch.NamedLimit;
import org.basilport.policy.dispatch.ReportedAge;
import org.basilport.protocol.LoadReport;
import org.basilport.protocol.ServerLimit;

/**
 * Translates the limits of servers to and from load reports, with ages in place of times. Confined
 * to the event loop thread.
 */
final class LimitReports {
  private final ServerTable servers;
  private final BooleanSupplier delayed;
  private final LongSupplier clock;

  /**
   * Creates a translation.
   *
   * @param delayed whether reports are read now that arrived before a pause of this process, so
   *     that their ages are too small
   * @param clock monotonic time in nanoseconds
   */
  LimitReports(ServerTable servers, BooleanSupplier delayed, LongSupplier clock) {
    this.servers = servers;
    this.delayed = delayed;
    this.clock = clock;
  }

  /** Adds what this instance knows to a report. */
  void write(LoadReport.Builder report) {
    long now = clock.getAsLong();
    servers
        .limits()
        .reportable(now)
        .forEach(
            (server, limit) -> {
              ServerLimit.Builder message =
                  ServerLimit.newBuilder()
                      .setServerId(server.entry().id())
                      .setIncarnation(server.entry().incarnation())
                      .setObservedAgeMillis(ReportedAge.notLater(limit.observedNanos(), now))
                      .setNamedAgeMillis(ReportedAge.notEarlier(limit.sinceNanos(), now));
              limit
                  .perSecond()
                  .ifPresent(perSecond -> message.setLimited(true).setRequestsPerSecond(perSecond));
              report.addLimits(message);
            });
  }

  /** Merges the knowledge of another instance. */
  void read(LoadReport report) {
    if (delayed.getAsBoolean()) {
      return;
    }
    long now = clock.getAsLong();
    for (ServerLimit limit : report.getLimitsList()) {
      servers
          .server(limit.getServerId())
          .filter(server -> server.entry().incarnation() == limit.getIncarnation())
          .ifPresent(server -> record(server, limit, report.getInstanceId(), now));
    }
  }

  private void record(BackendServer server, ServerLimit limit, String source, long now) {
    OptionalDouble perSecond =
        limit.getLimited()
            ? OptionalDouble.of(limit.getRequestsPerSecond())
            : OptionalDouble.empty();
    servers
        .limits()
        .recordReported(
            server,
            new NamedLimit(
                perSecond,
                ReportedAge.toNanos(limit.getObservedAgeMillis(), now),
                ReportedAge.toNanos(limit.getNamedAgeMillis(), now)),
            source);
  }
}
