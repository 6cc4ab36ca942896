package org.basilport.backend;

import java.util.Optional;
import org.basilport.engine.EngineReport;
import org.basilport.protocol.BackendEntry;

/** What an instance knows of one incarnation of a backend server; control thread only. */
final class BackendRecord {
  private BackendServer server;
  private long listedAtMillis;
  private int missingReads;
  private boolean refused;
  private boolean polling;
  private int tellings;
  private EngineReport report;

  BackendRecord(BackendServer server, long listedAtMillis) {
    this.server = server;
    this.listedAtMillis = listedAtMillis;
  }

  BackendServer server() {
    return server;
  }

  long listedAtMillis() {
    return listedAtMillis;
  }

  /** The server was in an instance list that was read at a time. */
  void listed(long atMillis) {
    listedAtMillis = Math.max(listedAtMillis, atMillis);
    missingReads = 0;
  }

  /** The server was not in an instance list; returns how often in a row. */
  int missing() {
    return ++missingReads;
  }

  /** Whether connections were refused since the last report. */
  boolean refused() {
    return refused;
  }

  void refused(boolean refusing) {
    refused = refusing;
  }

  boolean polling() {
    return polling;
  }

  void polling(boolean inFlight) {
    polling = inFlight;
  }

  /** How often peers were told of this server since it was added or marked as leaving. */
  int tellings() {
    return tellings;
  }

  /** Counts that a peer was told. */
  void told() {
    tellings++;
  }

  Optional<EngineReport> report() {
    return Optional.ofNullable(report);
  }

  void report(EngineReport latest) {
    report = latest;
  }

  void markLeaving() {
    tellings = 0;
    server =
        new BackendServer(
            server.id(),
            server.incarnation(),
            server.service(),
            server.region(),
            server.dataCentre(),
            server.address(),
            true);
  }

  /** What changes: receivers that know the incarnation have the rest. */
  BackendEntry briefEntry() {
    return BackendEntry.newBuilder()
        .setServerId(server.id())
        .setIncarnation(server.incarnation())
        .setLeaving(server.leaving())
        .setListedAtMillis(listedAtMillis)
        .build();
  }

  BackendEntry entry() {
    return BackendEntry.newBuilder()
        .setServerId(server.id())
        .setIncarnation(server.incarnation())
        .setLeaving(server.leaving())
        .setService(server.service())
        .setRegion(server.region())
        .setDataCentre(server.dataCentre())
        .setAddress(server.address())
        .setListedAtMillis(listedAtMillis)
        .build();
  }
}
