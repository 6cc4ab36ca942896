package org.basilport.gateway;

import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.policy.limit.TokenBucket;

/**
 * Limits the event rate of an instance, so that logging does not slow down forwarding under
 * overload. Records the number of dropped events once per second. Safe to use from any thread.
 */
public final class RateLimitedEventSink implements EventSink {
  /** Several events for each request that one instance can forward in a second. */
  private static final int EVENTS_PER_SECOND = 500;

  private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final EventSink target;
  private final TokenBucket bucket;
  private long dropped;
  private long lastReportedNanos = System.nanoTime();

  /** Creates a sink that limits the rate of events to another sink. */
  public RateLimitedEventSink(EventSink target) {
    this.target = target;
    this.bucket = new TokenBucket(EVENTS_PER_SECOND, EVENTS_PER_SECOND, System.nanoTime());
  }

  @Override
  public void record(EventType type, EventSubject subject, Object... arguments) {
    long now = System.nanoTime();
    long report = 0;
    boolean allowed;
    synchronized (this) {
      allowed = bucket.tryTake(1, now);
      dropped += allowed ? 0 : 1;
      if (dropped > 0 && now - lastReportedNanos > REPORT_INTERVAL_NANOS) {
        report = dropped;
        dropped = 0;
        lastReportedNanos = now;
      }
    }
    if (report > 0) {
      target.record(EventType.EVENTS_DROPPED, EventSubject.NONE, report, EVENTS_PER_SECOND);
    }
    if (allowed) {
      target.record(type, subject, arguments);
    }
  }
}
