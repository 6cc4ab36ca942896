package org.basilport.standin.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** LRU cache of prompt prefix blocks; each insertion and eviction increments the event sequence. */
final class PrefixCache {
  private static final int CHARS_PER_TOKEN = 4;
  private static final int BLOCK_TOKENS = 16;
  private static final int BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN;

  private final int maxBlocks;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private long sequence;

  PrefixCache(int capacityTokens) {
    this.maxBlocks = capacityTokens / BLOCK_TOKENS;
  }

  static long tokenCount(String prompt) {
    return prompt.length() / CHARS_PER_TOKEN + 1;
  }

  /** Number of tokens in the longest cached prefix of the prompt. */
  long cachedTokens(String prompt) {
    long tokens = 0;
    for (Long block : blockHashes(prompt)) {
      if (blocks.get(block) == null) {
        break;
      }
      tokens += BLOCK_TOKENS;
    }
    return tokens;
  }

  void add(String prompt) {
    for (Long block : blockHashes(prompt)) {
      if (blocks.put(block, Boolean.TRUE) == null) {
        sequence++;
      }
    }
    Iterator<Long> oldest = blocks.keySet().iterator();
    while (blocks.size() > maxBlocks) {
      oldest.next();
      oldest.remove();
      sequence++;
    }
  }

  long sequence() {
    return sequence;
  }

  void clear() {
    blocks.clear();
    sequence = 0;
  }

  private static List<Long> blockHashes(String prompt) {
    List<Long> hashes = new ArrayList<>();
    long hash = 17;
    for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
      for (int i = end - BLOCK_CHARS; i < end; i++) {
        hash = hash * 1_000_003 + prompt.charAt(i);
      }
      hashes.add(hash);
    }
    return hashes;
  }
}
