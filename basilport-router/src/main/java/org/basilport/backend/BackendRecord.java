package org.basilport.backend;

import java.util.Optional;
import org.basilport.engine.EngineReport;
import org.basilport.protocol.BackendEntry;

/** State of one incarnation of a backend server; control thread only. */
final class BackendRecord {
  private BackendServer server;
  private long listedAtMillis;
  private int missingReads;
  private boolean refused;
  private boolean polling;
  private int transmissions;
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

  /**
   * Records that an instance list read at a time, in milliseconds since the epoch, has the server.
   */
  void recordListed(long atMillis) {
    listedAtMillis = Math.max(listedAtMillis, atMillis);
    missingReads = 0;
  }

  /** Records that an instance list lacks the server; returns the number of such lists in a row. */
  int recordMissing() {
    return ++missingReads;
  }

  /** Returns whether connections were refused since the last report. */
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

  /** Returns how often this server was sent to peers since it was added or marked as leaving. */
  int transmissions() {
    return transmissions;
  }

  /** Counts a transmission to a peer. */
  void recordTransmission() {
    transmissions++;
  }

  Optional<EngineReport> report() {
    return Optional.ofNullable(report);
  }

  void report(EngineReport latest) {
    report = latest;
  }

  void markLeaving() {
    transmissions = 0;
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

  /** Returns an entry without constant fields, for receivers that know the incarnation. */
  BackendEntry compactEntry() {
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
