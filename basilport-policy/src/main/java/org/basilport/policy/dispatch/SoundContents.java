package org.basilport.policy.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Contents that servers have answered without crashing, with the latest time at which that was
 * observed. Bounded: the least recently used contents are dropped first.
 */
final class SoundContents {
  /** Maximum number of contents; each takes about 100 bytes. */
  private static final int MAX_CONTENTS = 4_096;

  private static final float LOAD_FACTOR = 0.75f;

  private final Map<Long, Long> soundAtNanos =
      new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_CONTENTS;
        }
      };

  /** Records an observation; returns false if a later one is known. */
  boolean record(long content, long atNanos) {
    Long known = soundAtNanos.get(content);
    if (known != null && known - atNanos >= 0) {
      return false;
    }
    soundAtNanos.put(content, atNanos);
    return true;
  }

  /** Time of the latest observation; empty if there is none. */
  OptionalLong lastSound(long content) {
    Long at = soundAtNanos.get(content);
    return at == null ? OptionalLong.empty() : OptionalLong.of(at);
  }

  /** Whether the content was observed to be sound later than at the given time. */
  boolean soundAfter(long content, long nanos) {
    Long at = soundAtNanos.get(content);
    return at != null && at - nanos > 0;
  }
}
