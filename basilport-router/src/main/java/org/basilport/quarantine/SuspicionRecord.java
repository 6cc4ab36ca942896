package org.basilport.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilport.protocol.LossEntry;
import org.basilport.protocol.SuspicionEntry;

/** The crashes and lost connections recorded for one fingerprint. */
final class SuspicionRecord {
  private static final int CRASHES_TO_QUARANTINE = 2;

  private final Set<String> crashIds = new HashSet<>();
  private final Set<String> clearedCrashIds = new HashSet<>();
  // Lost connections to servers not known to have crashed, by crash id.
  private final Map<String, Loss> losses = new HashMap<>();
  private final String fingerprint;
  private final Set<String> soleSuspectCrashes = new HashSet<>();
  private int transmissions;
  private boolean quarantined;
  private long expiresAtMillis;

  SuspicionRecord(String fingerprint) {
    this.fingerprint = fingerprint;
  }

  String fingerprint() {
    return fingerprint;
  }

  /** Returns how often the current state was sent to other instances. */
  int transmissions() {
    return transmissions;
  }

  void recordTransmission() {
    transmissions++;
  }

  /** Returns whether it is unknown, for some lost connection, whether the server crashed. */
  boolean hasUnresolvedLoss() {
    return losses.values().stream().anyMatch(loss -> !loss.resolved);
  }

  /**
   * Counts a crash; returns false if it was counted or cleared before.
   *
   * @param soleSuspect whether the request was the only suspect on the backend server
   */
  boolean addCrash(String crashId, boolean soleSuspect, long expiryMillis) {
    resolve(crashId);
    expiresAtMillis = Math.max(expiresAtMillis, expiryMillis);
    boolean added = !clearedCrashIds.contains(crashId) && crashIds.add(crashId);
    if (added && soleSuspect) {
      soleSuspectCrashes.add(crashId);
    }
    recordChange(added);
    return added;
  }

  /** Records a lost connection; returns false if the loss or its crash is already known. */
  boolean addLoss(String crashId, boolean isolated, long untilMillis) {
    if (crashIds.contains(crashId)
        || clearedCrashIds.contains(crashId)
        || losses.containsKey(crashId)) {
      return false;
    }
    losses.put(crashId, new Loss(untilMillis, isolated));
    expiresAtMillis = Math.max(expiresAtMillis, untilMillis);
    recordChange(true);
    return true;
  }

  /** Returns whether the request ran in isolation when it lost its connection, if it did. */
  Optional<Boolean> lossAt(String crashId) {
    return Optional.ofNullable(losses.get(crashId)).map(loss -> loss.isolated);
  }

  /** Resolves the loss at a server; the loss is kept so that gossip does not add it again. */
  void resolve(String crashId) {
    Loss loss = losses.get(crashId);
    if (loss != null) {
      loss.resolved = true;
    }
  }

  /**
   * Returns whether the crashes prove that this request is their cause: at least two crashes, for
   * one of which it was the only suspect. The crashes may become known in any order.
   *
   * @param attributedCrashes crashes attributed to requests that are already quarantined
   */
  boolean isProvenCause(Set<String> attributedCrashes) {
    long unattributed =
        crashIds.stream().filter(crash -> !attributedCrashes.contains(crash)).count();
    boolean soleSuspect =
        soleSuspectCrashes.stream().anyMatch(crash -> !attributedCrashes.contains(crash));
    return !quarantined && soleSuspect && unattributed >= CRASHES_TO_QUARANTINE;
  }

  /** Returns the ids of the crashes during which the request was in flight. */
  Set<String> crashIds() {
    return Set.copyOf(crashIds);
  }

  void quarantine(long expiryMillis) {
    quarantined = true;
    expiresAtMillis = expiryMillis;
    recordChange(true);
  }

  /** Clears the crashes but remembers their ids, so that gossip does not add them again. */
  void clear(long expiryMillis) {
    clearedCrashIds.addAll(crashIds);
    clearedCrashIds.addAll(losses.keySet());
    crashIds.clear();
    losses.clear();
    soleSuspectCrashes.clear();
    expiresAtMillis = expiryMillis;
    recordChange(true);
  }

  Verdict verdict(long nowMillis, Set<String> attributedCrashes) {
    if (expired(nowMillis)) {
      return Verdict.CLEAR;
    }
    if (quarantined) {
      return Verdict.QUARANTINED;
    }
    losses.values().removeIf(loss -> loss.untilMillis <= nowMillis);
    if (losses.values().stream().anyMatch(loss -> loss.isolated && !loss.resolved)) {
      return Verdict.UNRESOLVED;
    }
    return attributedCrashes.containsAll(crashIds) && !hasUnresolvedLoss()
        ? Verdict.CLEAR
        : Verdict.SUSPECT;
  }

  int crashCount() {
    return crashIds.size();
  }

  boolean quarantined() {
    return quarantined;
  }

  boolean expired(long nowMillis) {
    return expiresAtMillis <= nowMillis;
  }

  long expiresAtMillis() {
    return expiresAtMillis;
  }

  /** Returns the gossip entry; without crashes, losses and quarantine it lists the cleared ids. */
  SuspicionEntry toEntry() {
    boolean clearedOnly = crashIds.isEmpty() && losses.isEmpty() && !quarantined;
    SuspicionEntry.Builder entry =
        SuspicionEntry.newBuilder()
            .setFingerprint(fingerprint)
            .setDeaths(crashIds.size())
            .setQuarantined(quarantined)
            .setExpiresAtMillis(expiresAtMillis)
            .addAllDeathIds(clearedOnly ? clearedCrashIds : crashIds);
    losses.forEach(
        (crashId, loss) -> {
          if (!loss.resolved) {
            entry.addLosses(loss.toEntry(crashId));
          }
        });
    return entry.build();
  }

  /** Merges the state of another instance; returns whether anything changed. */
  boolean merge(SuspicionEntry entry, long nowMillis) {
    boolean changed = false;
    boolean clearedOnly =
        entry.getDeaths() == 0 && entry.getLossesCount() == 0 && !entry.getQuarantined();
    if (clearedOnly) {
      changed |= clearedCrashIds.addAll(entry.getDeathIdsList());
      crashIds.removeAll(clearedCrashIds);
      losses.keySet().removeAll(clearedCrashIds);
    } else {
      for (String crashId : entry.getDeathIdsList()) {
        changed |= addCrash(crashId, false, entry.getExpiresAtMillis());
      }
    }
    for (LossEntry loss : entry.getLossesList()) {
      if (loss.getUntilMillis() > nowMillis) {
        changed |= addLoss(loss.getDeathId(), loss.getIsolated(), loss.getUntilMillis());
      }
    }
    if (entry.getQuarantined() && !quarantined) {
      quarantined = true;
      changed = true;
    }
    expiresAtMillis = Math.max(expiresAtMillis, entry.getExpiresAtMillis());
    recordChange(changed);
    return changed;
  }

  private void recordChange(boolean changed) {
    if (changed) {
      transmissions = 0;
    }
  }

  /** A lost connection to a server. */
  private static final class Loss {
    private final long untilMillis;
    private final boolean isolated;
    private boolean resolved;

    Loss(long untilMillis, boolean isolated) {
      this.untilMillis = untilMillis;
      this.isolated = isolated;
    }

    LossEntry toEntry(String crashId) {
      return LossEntry.newBuilder()
          .setDeathId(crashId)
          .setUntilMillis(untilMillis)
          .setIsolated(isolated)
          .build();
    }
  }
}
