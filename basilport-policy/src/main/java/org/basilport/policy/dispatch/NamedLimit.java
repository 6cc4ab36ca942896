package org.basilport.policy.dispatch;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Latest observation of the limit that a server names in its responses.
 *
 * @param perSecond requests per second that the server accepts; empty if it names no limit any more
 * @param observedNanos monotonic time of the response
 * @param sinceNanos monotonic time of the first response that named a limit, or of the first one
 *     that named none any more
 */
public record NamedLimit(OptionalDouble perSecond, long observedNanos, long sinceNanos) {
  /** Time for which the end of a limit is reported; other instances learn of it within a second. */
  private static final long END_REPORT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Age of the observation of an end above which a further response without a limit renews it. */
  private static final long END_RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Whether other instances are told of it: a limit always, its end for a while. */
  public boolean reportable(long nowNanos) {
    return perSecond.isPresent() || nowNanos - sinceNanos < END_REPORT_NANOS;
  }

  /** Whether a response without a limit is news. */
  public boolean changedByNoLimit(long nowNanos) {
    return perSecond.isPresent()
        || (reportable(nowNanos) && nowNanos - observedNanos > END_RENEWAL_NANOS);
  }

  /**
   * Merges another observation of the same server: the later one counts, and its state exists since
   * the earlier of the two times if both are in the same state.
   */
  public NamedLimit merge(NamedLimit other) {
    NamedLimit later = other.observedNanos - observedNanos > 0 ? other : this;
    if (perSecond.isPresent() != other.perSecond.isPresent()) {
      return later;
    }
    long since = other.sinceNanos - sinceNanos < 0 ? other.sinceNanos : sinceNanos;
    return new NamedLimit(later.perSecond, later.observedNanos, since);
  }
}
