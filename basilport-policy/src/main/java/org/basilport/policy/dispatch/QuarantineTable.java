package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Quarantined contents. A content remains known after the end of its quarantine, so that one
 * further crash quarantines it again.
 */
final class QuarantineTable {
  /** Maximum number of contents that are or were quarantined. */
  private static final int MAX_CONTENTS = 256;

  private final Map<Long, Quarantine> byContent = new HashMap<>();

  /** Adds a quarantine; returns false if one that ends as late is known. */
  boolean add(Quarantine quarantine) {
    Quarantine known = byContent.get(quarantine.content());
    if (known != null && known.untilNanos() - quarantine.untilNanos() >= 0) {
      return false;
    }
    byContent.put(quarantine.content(), quarantine);
    if (byContent.size() > MAX_CONTENTS) {
      byContent.values().stream()
          .min((a, b) -> Long.signum(a.untilNanos() - b.untilNanos()))
          .ifPresent(oldest -> byContent.remove(oldest.content()));
    }
    return true;
  }

  /** Removes a content as if it had never been quarantined. */
  Optional<Quarantine> remove(long content) {
    return Optional.ofNullable(byContent.remove(content));
  }

  /** The present or former quarantine of a content. */
  Optional<Quarantine> known(long content) {
    return Optional.ofNullable(byContent.get(content));
  }

  /** The quarantine of a content that is in force. */
  Optional<Quarantine> inForce(long content, long nowNanos) {
    return known(content).filter(quarantine -> quarantine.untilNanos() - nowNanos > 0);
  }

  /** All quarantines that are in force. */
  List<Quarantine> inForce(long nowNanos) {
    List<Quarantine> inForce = new ArrayList<>();
    for (Quarantine quarantine : byContent.values()) {
      if (quarantine.untilNanos() - nowNanos > 0) {
        inForce.add(quarantine);
      }
    }
    return inForce;
  }
}
