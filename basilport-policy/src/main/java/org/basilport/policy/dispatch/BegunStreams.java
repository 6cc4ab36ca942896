package org.basilport.policy.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Software versions of the streams that one instance forwards and that callers may take up. */
public final class BegunStreams {
  /** Smallest number of streams at which expired ones are removed. */
  private static final int MIN_CLEANUP_SIZE = 256;

  private final Map<Long, Begun> streams = new HashMap<>();
  private int cleanupSize = MIN_CLEANUP_SIZE;

  /**
   * Adds a stream whose first event has arrived.
   *
   * @param key hash of workspace, service and request id
   * @param untilNanos time after which it is not taken up any more
   */
  public void add(long key, String version, long nowNanos, long untilNanos) {
    streams.put(key, new Begun(version, untilNanos, false));
    if (streams.size() >= cleanupSize) {
      removeExpired(nowNanos);
      cleanupSize = Math.max(MIN_CLEANUP_SIZE, 2 * streams.size());
    }
  }

  /**
   * Records that the last event of a stream was sent. Its version stays known, since its caller may
   * not have received all events.
   */
  public void complete(long key) {
    streams.computeIfPresent(key, (same, stream) -> stream.asComplete());
  }

  /** The version of a stream; empty if it is unknown. */
  public Optional<String> version(long key) {
    return Optional.ofNullable(streams.get(key)).map(Begun::version);
  }

  /** Versions of all unfinished streams that may be taken up, by key. */
  public Map<Long, String> unfinished(long nowNanos) {
    removeExpired(nowNanos);
    Map<Long, String> versions = new HashMap<>();
    streams.forEach(
        (key, stream) -> {
          if (!stream.complete) {
            versions.put(key, stream.version);
          }
        });
    return versions;
  }

  private void removeExpired(long nowNanos) {
    streams.values().removeIf(stream -> nowNanos - stream.untilNanos > 0);
  }

  private record Begun(String version, long untilNanos, boolean complete) {
    private Begun asComplete() {
      return new Begun(version, untilNanos, true);
    }
  }
}
