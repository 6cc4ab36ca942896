package org.basilport.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.basilport.protocol.SuspicionEntry;

/** What is known of one fingerprint. */
final class SuspicionRecord {
  private final Set<String> deaths = new HashSet<>();
  private final Set<String> cleared = new HashSet<>();
  // Losses of a server that is not known to be dead, with the end of the wait for that news.
  private final Map<String, Long> losses = new HashMap<>();
  private final Set<String> isolatedLosses = new HashSet<>();
  private boolean quarantined;
  private long expiresAtMillis;

  /** Counts a death once; returns false when it was counted or cleared before. */
  boolean addDeath(String deathId, long expiry) {
    resolve(deathId);
    expiresAtMillis = Math.max(expiresAtMillis, expiry);
    return !cleared.contains(deathId) && deaths.add(deathId);
  }

  void addLoss(String deathId, boolean isolated, long until) {
    losses.put(deathId, until);
    expiresAtMillis = Math.max(expiresAtMillis, until);
    if (isolated) {
      isolatedLosses.add(deathId);
    }
  }

  /** Ends the wait for news of a server. */
  void resolve(String deathId) {
    losses.remove(deathId);
    isolatedLosses.remove(deathId);
  }

  void quarantine(long expiry) {
    quarantined = true;
    expiresAtMillis = expiry;
  }

  /** Forgets the deaths and keeps their ids, so that gossip does not bring them back. */
  void clear(long expiry) {
    cleared.addAll(deaths);
    deaths.clear();
    losses.clear();
    isolatedLosses.clear();
    expiresAtMillis = expiry;
  }

  Verdict verdict(long nowMillis) {
    if (expired(nowMillis)) {
      return Verdict.CLEAR;
    }
    if (quarantined) {
      return Verdict.QUARANTINED;
    }
    losses.values().removeIf(until -> until <= nowMillis);
    isolatedLosses.retainAll(losses.keySet());
    if (!isolatedLosses.isEmpty()) {
      return Verdict.UNRESOLVED;
    }
    return deaths.isEmpty() && losses.isEmpty() ? Verdict.CLEAR : Verdict.SUSPECT;
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

  /** An entry without deaths that is not quarantined names the deaths that were cleared. */
  SuspicionEntry toEntry(String fingerprint) {
    boolean tellCleared = deaths.isEmpty() && !quarantined;
    return SuspicionEntry.newBuilder()
        .setFingerprint(fingerprint)
        .setDeaths(deaths.size())
        .setQuarantined(quarantined)
        .setExpiresAtMillis(expiresAtMillis)
        .addAllDeathIds(tellCleared ? cleared : deaths)
        .build();
  }

  /** Takes over what another instance knows; returns whether anything is new. */
  boolean merge(SuspicionEntry entry) {
    boolean changed = false;
    if (entry.getDeaths() == 0 && !entry.getQuarantined()) {
      changed |= cleared.addAll(entry.getDeathIdsList());
      deaths.removeAll(cleared);
    } else {
      for (String deathId : entry.getDeathIdsList()) {
        changed |= addDeath(deathId, entry.getExpiresAtMillis());
      }
    }
    if (entry.getQuarantined() && !quarantined) {
      quarantined = true;
      changed = true;
    }
    expiresAtMillis = Math.max(expiresAtMillis, entry.getExpiresAtMillis());
    return changed;
  }
}
