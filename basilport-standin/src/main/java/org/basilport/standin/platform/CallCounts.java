package org.basilport.standin.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Counts platform calls per client and kind; a watch counts as one call however long it waits. */
public final class CallCounts {
  private final Map<Key, Long> counts = new ConcurrentHashMap<>();

  /** Number of calls of a kind by all clients. */
  public long total(CallKind kind) {
    return counts.entrySet().stream()
        .filter(entry -> entry.getKey().kind == kind)
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  /** Number of calls of a kind by one client. */
  public long of(String clientId, CallKind kind) {
    return counts.getOrDefault(new Key(clientId, kind), 0L);
  }

  void increment(String clientId, CallKind kind) {
    counts.merge(new Key(clientId, kind), 1L, Long::sum);
  }

  private record Key(String clientId, CallKind kind) {}
}
