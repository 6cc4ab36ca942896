package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

/**
 * Attributes crashes of servers to the requests, or the parts of prompts, that caused them.
 *
 * <p>The load it answers: requests of which no two are alike share one part of their prompts, and
 * each server that begins to answer one of them crashes. Sound requests share the caller and the
 * other parts, and run on the same servers. A single request that is sent again after each crash
 * does the same. Four observations separate them:
 *
 * <ul>
 *   <li>If a request had begun its answer when the server crashed, those that waited are suspected
 *       only of crashes that no answer explains: a request may also crash its server before the
 *       first byte, while sound ones begin beside it.
 *   <li>A part of an answered request is sound, so only crashes since then count against it.
 *   <li>A crash that a quarantined part explains counts against nothing else.
 *   <li>Servers that crash at the same moment may have another common cause. Their crashes count
 *       once against a part, unless many different requests contain it.
 * </ul>
 */
final class CrashAttribution {
  /** Crashes after which a request is quarantined. */
  private static final int CRASHES_TO_QUARANTINE = 3;

  /**
   * Crashes after which requests are quarantined that were at the same crashes, so that nothing
   * separates them.
   */
  private static final int INDISTINCT_CRASHES_TO_QUARANTINE = 4;

  /** Crashes of a part that was never answered that explain those of the parts beside it. */
  private static final int CRASHES_TO_EXPLAIN = 2;

  /** Share of the largest number of crashes at which a part may be the cause of all of them. */
  private static final double NEARLY_ALL_SHARE = 0.8;

  /** Time within which other instances report the parts of a crash that they know to be sound. */
  private static final long SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** The same if several parts could be the cause, or if the part was answered earlier. */
  private static final long AMBIGUOUS_SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final SoundContents soundContents;
  private final LongFunction<Optional<Quarantine>> knownQuarantine;
  private final List<ServerCrash> crashes;
  private final long nowNanos;
  private final Map<Long, Integer> culprits = new HashMap<>();
  private long nextDecisionNanos;
  private boolean undecided;

  /**
   * Evaluates crashes.
   *
   * @param observations evidence of the crashes
   * @param knownQuarantine present or former quarantine of a content
   */
  CrashAttribution(
      Collection<CrashObservation> observations,
      SoundContents soundContents,
      LongFunction<Optional<Quarantine>> knownQuarantine,
      long nowNanos) {
    this.soundContents = soundContents;
    this.knownQuarantine = knownQuarantine;
    this.nowNanos = nowNanos;
    this.crashes = crashes(observations);
    blameKnownCulprits();
    blameRequests();
    blameParts(ServerCrash::suspects, SETTLING_NANOS);
    blameWaitingRequests();
    if (!undecided) {
      blameParts(ServerCrash::requests, AMBIGUOUS_SETTLING_NANOS);
    }
  }

  /** Contents to be quarantined, with the number of crashes that are attributed to each. */
  Map<Long, Integer> culprits() {
    return culprits;
  }

  /** Time of the next evaluation if nothing changes; empty if there is none. */
  Optional<Long> nextDecisionNanos() {
    return undecided ? Optional.of(nextDecisionNanos) : Optional.empty();
  }

  private static List<ServerCrash> crashes(Collection<CrashObservation> observations) {
    Map<String, List<CrashObservation>> byServer =
        observations.stream()
            .collect(
                Collectors.groupingBy(
                    observation ->
                        observation.evidence().serverId()
                            + "@"
                            + observation.evidence().incarnation()));
    List<ServerCrash> crashes = new ArrayList<>();
    byServer.values().forEach(atServer -> crashes.add(new ServerCrash(atServer)));
    crashes.sort((a, b) -> Long.signum(a.lostAtNanos() - b.lostAtNanos()));
    return crashes;
  }

  /** A content that was quarantined before is quarantined again after one further crash. */
  private void blameKnownCulprits() {
    for (ServerCrash crash : crashes) {
      for (CrashObservation suspect : crash.requests()) {
        for (long content : contents(suspect.evidence().content())) {
          boolean repeated =
              knownQuarantine
                  .apply(content)
                  .filter(known -> suspect.lostAtNanos() - known.lastCrashNanos() > 0)
                  .isPresent();
          if (repeated) {
            culprits.merge(content, 1, Integer::sum);
          }
        }
      }
    }
  }

  private static List<Long> contents(RequestContent content) {
    List<Long> contents = new ArrayList<>(content.promptParts());
    contents.add(content.fingerprint());
    return contents;
  }

  private void blameRequests() {
    Map<Long, Integer> counts = new HashMap<>();
    for (ServerCrash crash : crashes) {
      if (explained(crash, ServerCrash::suspects)) {
        continue;
      }
      for (CrashObservation suspect : crash.suspects()) {
        long fingerprint = suspect.evidence().content().fingerprint();
        if (!soundContents.soundAfter(fingerprint, suspect.lostAtNanos())) {
          counts.merge(fingerprint, 1, Integer::sum);
        }
      }
    }
    counts.forEach(
        (fingerprint, count) -> {
          if (count >= CRASHES_TO_QUARANTINE) {
            culprits.putIfAbsent(fingerprint, count);
          }
        });
  }

  /**
   * Blames the requests that were at most of the crashes that nothing else explains, whether their
   * servers had begun to answer them or not.
   */
  private void blameWaitingRequests() {
    Set<ServerCrash> unexplained =
        crashes.stream()
            .filter(crash -> !explained(crash, ServerCrash::requests))
            .filter(crash -> !explainedByRequest(crash))
            .collect(Collectors.toCollection(LinkedHashSet::new));
    while (true) {
      Map<Long, List<ServerCrash>> byRequest = new HashMap<>();
      for (ServerCrash crash : unexplained) {
        unansweredSince(crash)
            .forEach(
                request -> byRequest.computeIfAbsent(request, key -> new ArrayList<>()).add(crash));
      }
      int most = byRequest.values().stream().mapToInt(List::size).max().orElse(0);
      List<Long> candidates =
          byRequest.keySet().stream().filter(key -> byRequest.get(key).size() == most).toList();
      int required =
          candidates.size() == 1 ? CRASHES_TO_QUARANTINE : INDISTINCT_CRASHES_TO_QUARANTINE;
      if (most < required) {
        return;
      }
      for (long candidate : candidates) {
        culprits.put(candidate, most);
        unexplained.removeAll(byRequest.get(candidate));
      }
    }
  }

  private boolean explainedByRequest(ServerCrash crash) {
    return crash.requests().stream()
        .map(request -> request.evidence().content().fingerprint())
        .anyMatch(
            request -> culprits.containsKey(request) || knownQuarantine.apply(request).isPresent());
  }

  /** The requests at a crash that no server has answered since then. */
  private Set<Long> unansweredSince(ServerCrash crash) {
    return crash.requests().stream()
        .filter(
            request ->
                !soundContents.soundAfter(
                    request.evidence().content().fingerprint(), request.lostAtNanos()))
        .map(request -> request.evidence().content().fingerprint())
        .collect(Collectors.toSet());
  }

  /**
   * Blames the parts of prompts that occur in several crashes.
   *
   * @param suspects the requests at a crash that are considered
   * @param settlingNanos time within which other instances report the parts that are sound
   */
  private void blameParts(
      Function<ServerCrash, List<CrashObservation>> suspects, long settlingNanos) {
    while (true) {
      List<PartSuspicion> suspicions = suspicions(suspects);
      List<PartSuspicion> candidates =
          suspicions.stream()
              .filter(suspicion -> !suspicion.answered() && suspicion.decisiveAtNanos().isPresent())
              .toList();
      if (candidates.isEmpty()) {
        candidates = answeredCandidates(suspicions);
      }
      if (candidates.isEmpty()) {
        return;
      }
      PartSuspicion chosen = mostLikely(candidates);
      boolean ambiguous = chosen.answered() || candidates.size() > 1;
      long decisionNanos =
          chosen.decisiveAtNanos().orElseThrow()
              + (ambiguous ? AMBIGUOUS_SETTLING_NANOS : settlingNanos);
      if (decisionNanos - nowNanos > 0) {
        nextDecisionNanos = decisionNanos;
        undecided = true;
        return;
      }
      culprits.put(chosen.part(), chosen.crashes().size());
    }
  }

  /**
   * The last of the parts that occur in nearly all crashes: all requests of a route share the first
   * parts, so these occur in the crashes that a later part causes.
   */
  private static PartSuspicion mostLikely(List<PartSuspicion> candidates) {
    int most =
        candidates.stream().mapToInt(candidate -> candidate.crashes().size()).max().orElse(0);
    return candidates.stream()
        .filter(candidate -> candidate.crashes().size() >= NEARLY_ALL_SHARE * most)
        .max(
            Comparator.<PartSuspicion>comparingInt(candidate -> candidate.position())
                .thenComparing(candidate -> candidate.crashes().size())
                .thenComparing(candidate -> candidate.part()))
        .orElseThrow();
  }

  private boolean explained(
      ServerCrash crash, Function<ServerCrash, List<CrashObservation>> suspects) {
    return suspects.apply(crash).stream()
        .flatMap(suspect -> suspect.evidence().content().promptParts().stream())
        .anyMatch(part -> culprits.containsKey(part) || knownQuarantine.apply(part).isPresent());
  }

  /** The parts in crashes that are not explained and later than the last answer to the part. */
  private List<PartSuspicion> suspicions(Function<ServerCrash, List<CrashObservation>> suspects) {
    Map<Long, PartSuspicion> byPart = new HashMap<>();
    for (ServerCrash crash : crashes) {
      if (explained(crash, suspects)) {
        continue;
      }
      for (CrashObservation suspect : suspects.apply(crash)) {
        List<Long> parts = suspect.evidence().content().promptParts();
        for (int i = 0; i < parts.size(); i++) {
          long part = parts.get(i);
          if (!soundContents.soundAfter(part, suspect.lostAtNanos())) {
            byPart
                .computeIfAbsent(
                    part, key -> new PartSuspicion(key, soundContents.lastSound(key).isPresent()))
                .add(crash, suspect, i);
          }
        }
      }
    }
    return List.copyOf(byPart.values());
  }

  /**
   * The parts that were answered earlier and are the only explanation of several crashes under an
   * answer that had begun.
   */
  private static List<PartSuspicion> answeredCandidates(List<PartSuspicion> suspicions) {
    Set<ServerCrash> explained =
        suspicions.stream()
            .filter(
                suspicion ->
                    !suspicion.answered() && suspicion.crashes().size() >= CRASHES_TO_EXPLAIN)
            .flatMap(suspicion -> suspicion.crashes().stream())
            .collect(Collectors.toSet());
    return suspicions.stream()
        .filter(suspicion -> suspicion.answered())
        .map(suspicion -> suspicion.without(explained))
        .filter(suspicion -> suspicion.decisiveAtNanos().isPresent())
        .toList();
  }
}
