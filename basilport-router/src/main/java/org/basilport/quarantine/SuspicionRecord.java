package org.basilport.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilport.protocol.LossEntry;
import org.basilport.protocol.SuspicionEntry;

/** What is known of one fingerprint. */
final class SuspicionRecord {
  private static final int DEATHS_TO_QUARANTINE = 2;

  private final Set<String> deaths = new HashSet<>();
  private final Set<String> cleared = new HashSet<>();
  // Losses of a server that is not known to be dead, by death id.
  private final Map<String, Loss> losses = new HashMap<>();
  private final String fingerprint;
  private final Set<String> deathsAlone = new HashSet<>();
  private int timesTold;
  private boolean quarantined;
  private long expiresAtMillis;

  SuspicionRecord(String fingerprint) {
    this.fingerprint = fingerprint;
  }

  String fingerprint() {
    return fingerprint;
  }

  /** How often the latest state was told to other instances. */
  int timesTold() {
    return timesTold;
  }

  void told() {
    timesTold++;
  }

  /** Whether a lost connection waits for news of its backend server. */
  boolean awaitsNews() {
    return losses.values().stream().anyMatch(loss -> !loss.resolved);
  }

  /**
   * Counts a death once; returns false when it was counted or cleared before.
   *
   * @param alone whether the request was the only suspect on the backend server
   */
  boolean addDeath(String deathId, boolean alone, long expiry) {
    resolve(deathId);
    expiresAtMillis = Math.max(expiresAtMillis, expiry);
    boolean added = !cleared.contains(deathId) && deaths.add(deathId);
    if (added && alone) {
      deathsAlone.add(deathId);
    }
    changed(added);
    return added;
  }

  /** Notes a lost connection; returns false when it is known already. */
  boolean addLoss(String deathId, boolean isolated, long until) {
    if (deaths.contains(deathId) || cleared.contains(deathId) || losses.containsKey(deathId)) {
      return false;
    }
    losses.put(deathId, new Loss(until, isolated));
    expiresAtMillis = Math.max(expiresAtMillis, until);
    changed(true);
    return true;
  }

  /** Returns whether the request ran in isolation when it lost its connection at a server. */
  Optional<Boolean> lossAt(String deathId) {
    return Optional.ofNullable(losses.get(deathId)).map(loss -> loss.isolated);
  }

  /** Ends the wait for news of a server; the loss is kept so that gossip does not revive it. */
  void resolve(String deathId) {
    Loss loss = losses.get(deathId);
    if (loss != null) {
      loss.resolved = true;
    }
  }

  /**
   * Whether the deaths prove that this request is their cause: two of them, one of which it caused
   * alone. The deaths may become known in any order.
   *
   * @param explained deaths whose cause is a request that was quarantined before
   */
  boolean provesGuilt(Set<String> explained) {
    long unexplained = deaths.stream().filter(death -> !explained.contains(death)).count();
    boolean alone = deathsAlone.stream().anyMatch(death -> !explained.contains(death));
    return !quarantined && alone && unexplained >= DEATHS_TO_QUARANTINE;
  }

  /** Returns the ids of the deaths at which the request was in flight. */
  Set<String> deaths() {
    return Set.copyOf(deaths);
  }

  void quarantine(long expiry) {
    quarantined = true;
    expiresAtMillis = expiry;
    changed(true);
  }

  /** Forgets the deaths and keeps their ids, so that gossip does not bring them back. */
  void clear(long expiry) {
    cleared.addAll(deaths);
    cleared.addAll(losses.keySet());
    deaths.clear();
    losses.clear();
    deathsAlone.clear();
    expiresAtMillis = expiry;
    changed(true);
  }

  Verdict verdict(long nowMillis, Set<String> explained) {
    if (expired(nowMillis)) {
      return Verdict.CLEAR;
    }
    if (quarantined) {
      return Verdict.QUARANTINED;
    }
    losses.values().removeIf(loss -> loss.until <= nowMillis);
    if (losses.values().stream().anyMatch(loss -> loss.isolated && !loss.resolved)) {
      return Verdict.UNRESOLVED;
    }
    return explained.containsAll(deaths) && !awaitsNews() ? Verdict.CLEAR : Verdict.SUSPECT;
  }

  int deathCount() {
    return deaths.size();
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

  /** An entry without deaths and losses that is not quarantined names what was cleared. */
  SuspicionEntry toEntry() {
    boolean tellCleared = deaths.isEmpty() && losses.isEmpty() && !quarantined;
    SuspicionEntry.Builder entry =
        SuspicionEntry.newBuilder()
            .setFingerprint(fingerprint)
            .setDeaths(deaths.size())
            .setQuarantined(quarantined)
            .setExpiresAtMillis(expiresAtMillis)
            .addAllDeathIds(tellCleared ? cleared : deaths);
    losses.forEach(
        (deathId, loss) -> {
          if (!loss.resolved) {
            entry.addLosses(loss.toEntry(deathId));
          }
        });
    return entry.build();
  }

  /** Takes over what another instance knows; returns whether anything is new. */
  boolean merge(SuspicionEntry entry, long nowMillis) {
    boolean changed = false;
    boolean tellsCleared =
        entry.getDeaths() == 0 && entry.getLossesCount() == 0 && !entry.getQuarantined();
    if (tellsCleared) {
      changed |= cleared.addAll(entry.getDeathIdsList());
      deaths.removeAll(cleared);
      losses.keySet().removeAll(cleared);
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
    changed(changed);
    return changed;
  }

  private void changed(boolean news) {
    if (news) {
      timesTold = 0;
    }
  }

  /** A lost connection. */
  private static final class Loss {
    private final long until;
    private final boolean isolated;
    private boolean resolved;

    Loss(long until, boolean isolated) {
      this.until = until;
      this.isolated = isolated;
    }

    LossEntry toEntry(String deathId) {
      return LossEntry.newBuilder()
          .setDeathId(deathId)
          .setUntilMillis(until)
          .setIsolated(isolated)
          .build();
    }
  }
}
