package org.basilport.bench.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/** Prompt prefixes that an engine keeps, with the least recently used dropped first. */
final class PrefixCache {
  private static final int INITIAL = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final long capacityTokens;
  private final Map<Long, Long> prefixes = new LinkedHashMap<>(INITIAL, LOAD_FACTOR, true);
  private long usedTokens;

  PrefixCache(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /** Returns the cached tokens of a prefix and marks it as used. */
  long hit(long prefixHash) {
    Long tokens = prefixes.get(prefixHash);
    return tokens == null ? 0 : tokens;
  }

  /** Adds a prefix; dropped prefixes are given to the consumer. Returns false when known. */
  boolean add(long prefixHash, long tokens, LongConsumer dropped) {
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
      dropped.accept(entry.getKey());
    }
    return true;
  }
}
