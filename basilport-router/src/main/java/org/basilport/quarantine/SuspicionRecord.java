package org.basilport.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilport.protocol.LossEntry;
import org.basilport.protocol.SuspicionEntry;

/** The deaths and lost connections recorded for one fingerprint. */
final class SuspicionRecord {
  private static final int DEATHS_TO_QUARANTINE = 2;

  private final Set<String> deathIds = new HashSet<>();
  private final Set<String> clearedDeathIds = new HashSet<>();
  // Lost connections to servers not known to be dead, by death id.
  private final Map<String, Loss> losses = new HashMap<>();
  private final String fingerprint;
  private final Set<String> soleSuspectDeaths = new HashSet<>();
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

  /** Returns whether it is unknown, for some lost connection, whether the server died. */
  boolean hasUnresolvedLoss() {
    return losses.values().stream().anyMatch(loss -> !loss.resolved);
  }

  /**
   * Counts a death; returns false if it was counted or cleared before.
   *
   * @param soleSuspect whether the request was the only suspect on the backend server
   */
  boolean addDeath(String deathId, boolean soleSuspect, long expiryMillis) {
    resolve(deathId);
    expiresAtMillis = Math.max(expiresAtMillis, expiryMillis);
    boolean added = !clearedDeathIds.contains(deathId) && deathIds.add(deathId);
    if (added && soleSuspect) {
      soleSuspectDeaths.add(deathId);
    }
    recordChange(added);
    return added;
  }

  /** Records a lost connection; returns false if the loss or its death is already known. */
  boolean addLoss(String deathId, boolean isolated, long untilMillis) {
    if (deathIds.contains(deathId)
        || clearedDeathIds.contains(deathId)
        || losses.containsKey(deathId)) {
      return false;
    }
    losses.put(deathId, new Loss(untilMillis, isolated));
    expiresAtMillis = Math.max(expiresAtMillis, untilMillis);
    recordChange(true);
    return true;
  }

  /** Returns whether the request ran in isolation when it lost its connection, if it did. */
  Optional<Boolean> lossAt(String deathId) {
    return Optional.ofNullable(losses.get(deathId)).map(loss -> loss.isolated);
  }

  /** Resolves the loss at a server; the loss is kept so that gossip does not add it again. */
  void resolve(String deathId) {
    Loss loss = losses.get(deathId);
    if (loss != null) {
      loss.resolved = true;
    }
  }

  /**
   * Returns whether the deaths prove that this request is their cause: at least two deaths, for one
   * of which it was the only suspect. The deaths may become known in any order.
   *
   * @param attributedDeaths deaths attributed to requests that are already quarantined
   */
  boolean isProvenCause(Set<String> attributedDeaths) {
    long unattributed =
        deathIds.stream().filter(death -> !attributedDeaths.contains(death)).count();
    boolean soleSuspect =
        soleSuspectDeaths.stream().anyMatch(death -> !attributedDeaths.contains(death));
    return !quarantined && soleSuspect && unattributed >= DEATHS_TO_QUARANTINE;
  }

  /** Returns the ids of the deaths during which the request was in flight. */
  Set<String> deathIds() {
    return Set.copyOf(deathIds);
  }

  void quarantine(long expiryMillis) {
    quarantined = true;
    expiresAtMillis = expiryMillis;
    recordChange(true);
  }

  /** Clears the deaths but remembers their ids, so that gossip does not add them again. */
  void clear(long expiryMillis) {
    clearedDeathIds.addAll(deathIds);
    clearedDeathIds.addAll(losses.keySet());
    deathIds.clear();
    losses.clear();
    soleSuspectDeaths.clear();
    expiresAtMillis = expiryMillis;
    recordChange(true);
  }

  Verdict verdict(long nowMillis, Set<String> attributedDeaths) {
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
    return attributedDeaths.containsAll(deathIds) && !hasUnresolvedLoss()
        ? Verdict.CLEAR
        : Verdict.SUSPECT;
  }

  int deathCount() {
    return deathIds.size();
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

  /** Returns the gossip entry; without deaths, losses and quarantine it lists the cleared ids. */
  SuspicionEntry toEntry() {
    boolean clearedOnly = deathIds.isEmpty() && losses.isEmpty() && !quarantined;
    SuspicionEntry.Builder entry =
        SuspicionEntry.newBuilder()
            .setFingerprint(fingerprint)
            .setDeaths(deathIds.size())
            .setQuarantined(quarantined)
            .setExpiresAtMillis(expiresAtMillis)
            .addAllDeathIds(clearedOnly ? clearedDeathIds : deathIds);
    losses.forEach(
        (deathId, loss) -> {
          if (!loss.resolved) {
            entry.addLosses(loss.toEntry(deathId));
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
      changed |= clearedDeathIds.addAll(entry.getDeathIdsList());
      deathIds.removeAll(clearedDeathIds);
      losses.keySet().removeAll(clearedDeathIds);
    } else {
      for (String deathId : entry.getDeathIdsList()) {
        changed |= addDeath(deathId, false, entry.getExpiresAtMillis());
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

    LossEntry toEntry(String deathId) {
      return LossEntry.newBuilder()
          .setDeathId(deathId)
          .setUntilMillis(untilMillis)
          .setIsolated(isolated)
          .build();
    }
  }
}
