package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A part with the crashes that it may have caused, in their order. */
final class PartSuspicion {
  /** Crashes after which a part is quarantined that no server has answered. */
  private static final int CRASHES_TO_QUARANTINE = 3;

  /** Crashes after which a part is quarantined that was answered earlier. */
  private static final int CRASHES_TO_QUARANTINE_ANSWERED = 5;

  /** Different requests that must have crashed servers before a part is blamed for it. */
  private static final int REQUESTS_TO_QUARANTINE = 2;

  /** Time within which crashes of several servers count once against a part. */
  private static final long SIMULTANEOUS_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Simultaneous crashes, under different requests, that are no coincidence. */
  private static final int SIMULTANEOUS_CRASHES_TO_QUARANTINE = 5;

  private final long part;
  private final boolean answered;
  private final List<ServerCrash> crashes = new ArrayList<>();
  private final List<Long> countedAtNanos = new ArrayList<>();
  private final Set<Long> fingerprints = new HashSet<>();
  private ServerCrash countedCrash;
  private int position;

  PartSuspicion(long part, boolean answered) {
    this.part = part;
    this.answered = answered;
  }

  long part() {
    return part;
  }

  /** Whether a server has answered a request with the part. */
  boolean answered() {
    return answered;
  }

  List<ServerCrash> crashes() {
    return crashes;
  }

  /** Last position of the part in a prompt, from 0. */
  int position() {
    return position;
  }

  /** Adds a request with the part that may have caused a crash. */
  void add(ServerCrash crash, CrashObservation suspect, int index) {
    if (!crashes.contains(crash)) {
      count(crash);
    }
    fingerprints.add(suspect.evidence().content().fingerprint());
    position = Math.max(position, index);
  }

  private void count(ServerCrash crash) {
    boolean separate =
        crashes.isEmpty() || crash.lostAtNanos() - countedCrash.lostAtNanos() > SIMULTANEOUS_NANOS;
    if (separate) {
      countedCrash = crash;
      countedAtNanos.add(crash.knownAtNanos());
    }
    crashes.add(crash);
  }

  /** The suspicion from the crashes under an answer that nothing else explains. */
  PartSuspicion without(Set<ServerCrash> explained) {
    PartSuspicion rest = new PartSuspicion(part, answered);
    for (ServerCrash crash : crashes) {
      if (crash.underAnswer() && !explained.contains(crash)) {
        crash.suspects().stream()
            .filter(suspect -> suspect.evidence().content().promptParts().contains(part))
            .forEach(suspect -> rest.add(crash, suspect, position));
      }
    }
    return rest;
  }

  /** Time at which the evidence became sufficient; empty if it is not. */
  OptionalLong decisiveAtNanos() {
    if (fingerprints.size() < REQUESTS_TO_QUARANTINE) {
      return OptionalLong.empty();
    }
    int threshold = answered ? CRASHES_TO_QUARANTINE_ANSWERED : CRASHES_TO_QUARANTINE;
    if (countedAtNanos.size() >= threshold) {
      return countedAtNanos.subList(0, threshold).stream().mapToLong(at -> at).max();
    }
    List<ServerCrash> underAnswer = crashes.stream().filter(ServerCrash::underAnswer).toList();
    int required = SIMULTANEOUS_CRASHES_TO_QUARANTINE;
    if (!answered && underAnswer.size() >= required && fingerprints.size() >= required) {
      return underAnswer.stream().mapToLong(crash -> crash.knownAtNanos()).max();
    }
    return OptionalLong.empty();
  }
}
