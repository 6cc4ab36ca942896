package org.basilport.policy.dispatch;

import java.util.List;

/** Crash of one incarnation of a server, with the requests that may have caused it. */
final class ServerCrash {
  private final List<CrashObservation> requests;
  private final List<CrashObservation> suspects;
  private final long lostAtNanos;
  private final long knownAtNanos;

  /**
   * Creates a crash.
   *
   * @param atServer all requests that were at the server
   */
  ServerCrash(List<CrashObservation> atServer) {
    List<CrashObservation> answering =
        atServer.stream().filter(observation -> observation.evidence().answering()).toList();
    requests = List.copyOf(atServer);
    suspects = answering.isEmpty() ? List.copyOf(atServer) : answering;
    lostAtNanos = suspects.stream().mapToLong(CrashObservation::lostAtNanos).min().orElseThrow();
    knownAtNanos = suspects.stream().mapToLong(CrashObservation::knownAtNanos).min().orElseThrow();
  }

  /** All requests that were at the server. */
  List<CrashObservation> requests() {
    return requests;
  }

  /**
   * The requests that are suspected first: those that the server had begun to answer; all if there
   * are none.
   */
  List<CrashObservation> suspects() {
    return suspects;
  }

  /** Time at which the first connection of a suspect was lost. */
  long lostAtNanos() {
    return lostAtNanos;
  }

  /** Time at which this instance learned of the first suspect. */
  long knownAtNanos() {
    return knownAtNanos;
  }

  /** Whether the server had begun to answer the requests that are suspected first. */
  boolean underAnswer() {
    return suspects.get(0).evidence().answering();
  }
}
