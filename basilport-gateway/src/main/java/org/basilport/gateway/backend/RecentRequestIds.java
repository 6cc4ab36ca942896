package org.basilport.gateway.backend;

import java.util.LinkedHashSet;
import java.util.Set;

/** The ids that were added last; older ones are dropped. */
final class RecentRequestIds {
  /** Late second answers follow within a few requests. */
  private static final int MAX_IDS = 64;

  private final Set<String> ids = new LinkedHashSet<>(0);

  void add(String id) {
    ids.remove(id);
    ids.add(id);
    if (ids.size() > MAX_IDS) {
      ids.remove(ids.iterator().next());
    }
  }

  boolean contains(String id) {
    return ids.contains(id);
  }
}
