package org.basilport.gateway.forward;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.Deadline;

/** Deadline and queue timeout of one exchange, from its arrival. Confined to the event loop. */
final class ExchangeTimers {
  private final EventLoop eventLoop;
  private final long arrivalNanos = System.nanoTime();
  private final Deadline deadline;
  private final ScheduledFuture<?> deadlineTimer;
  private ScheduledFuture<?> queueTimer;
  private long queueTimeoutNanos;

  /** Starts the deadline. */
  ExchangeTimers(EventLoop eventLoop, Duration timeout, Runnable onDeadline) {
    this.eventLoop = eventLoop;
    this.deadline = new Deadline(arrivalNanos, System.currentTimeMillis(), timeout);
    this.deadlineTimer = eventLoop.schedule(onDeadline, timeout.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Starts the queue timeout. */
  void startQueueTimeout(long timeoutNanos, Runnable onQueueTimeout) {
    queueTimeoutNanos = timeoutNanos;
    queueTimer = eventLoop.schedule(onQueueTimeout, timeoutNanos, TimeUnit.NANOSECONDS);
  }

  /** Monotonic time of the arrival. */
  long arrivalNanos() {
    return arrivalNanos;
  }

  /** Time since the arrival, in milliseconds. */
  long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivalNanos);
  }

  /** Time until the deadline. */
  Duration remaining() {
    return deadline.remaining(System.nanoTime(), System.currentTimeMillis());
  }

  /**
   * Time for which the request can wait in the queue, in nanoseconds. The queue timeout does not
   * apply to a request that was sent before and is placed again after it.
   */
  long maxWaitNanos() {
    long untilTimeoutNanos = queueTimeoutNanos - (System.nanoTime() - arrivalNanos);
    return untilTimeoutNanos > 0 ? untilTimeoutNanos : remaining().toNanos();
  }

  void cancel() {
    deadlineTimer.cancel(false);
    if (queueTimer != null) {
      queueTimer.cancel(false);
    }
  }
}
