package org.basilport.policy.dispatch;

import java.util.OptionalDouble;

/**
 * Latest observation of the limit that a server names in its responses.
 *
 * @param perSecond requests per second that the server accepts; empty if it names no limit any more
 * @param observedNanos monotonic time of the response
 * @param namedSinceNanos monotonic time of the first response that named a limit
 */
public record NamedLimit(OptionalDouble perSecond, long observedNanos, long namedSinceNanos) {

  /**
   * Merges another observation of the same server: the later one counts, and the limit is named
   * since the earlier of the two times if both name one.
   */
  public NamedLimit merge(NamedLimit other) {
    NamedLimit later = other.observedNanos - observedNanos > 0 ? other : this;
    if (perSecond.isEmpty() || other.perSecond.isEmpty()) {
      return later;
    }
    long since =
        other.namedSinceNanos - namedSinceNanos < 0 ? other.namedSinceNanos : namedSinceNanos;
    return new NamedLimit(later.perSecond, later.observedNanos, since);
  }
}
