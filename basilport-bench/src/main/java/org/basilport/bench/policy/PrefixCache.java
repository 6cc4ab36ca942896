package org.basilport.bench.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/** Least-recently-used cache of prompt prefixes with a capacity in tokens. */
final class PrefixCache {
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final long capacityTokens;
  private final Map<Long, Long> prefixes = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private long usedTokens;

  PrefixCache(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns the cached tokens of a prefix, 0 on a miss, and marks it as recently used. */
  long lookup(long prefixHash) {
    Long tokens = prefixes.get(prefixHash);
    return tokens == null ? 0 : tokens;
  }

  /**
   * Adds a prefix and passes the hash of each evicted prefix to the consumer.
   *
   * @return false when the prefix was cached before
   */
  boolean add(long prefixHash, long tokens, LongConsumer evicted) {
    if (prefixes.containsKey(prefixHash)) {
      return false;
    }
    prefixes.put(prefixHash, tokens);
    usedTokens += tokens;
    Iterator<Map.Entry<Long, Long>> oldest = prefixes.entrySet().iterator();
    while (usedTokens > capacityTokens && oldest.hasNext()) {
      Map.Entry<Long, Long> entry = oldest.next();
      usedTokens -= entry.getValue();
      oldest.remove();
      evicted.accept(entry.getKey());
    }
    return true;
  }
}
