package org.basilport.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.misc.Deadline;
import org.basilport.misc.Scheduler;

/**
 * Limits all platform calls of an instance to its share of the fleet's call rates and stops them by
 * a circuit breaker while the platform does not respond. Safe for use from any thread.
 */
public final class PlatformCallLimiter {
  private static final int MAX_QUEUED_CALLS = 512;
  private static final int MIN_CALLS_PER_SECOND = 1;

  private final Scheduler scheduler;
  private final EventSink events;
  private final IntSupplier liveInstances;
  private final int fleetReadsPerSecond;
  private final int fleetWritesPerSecond;
  private final CircuitBreaker breaker;
  private final CallQueue reads;
  private final CallQueue writes;
  private final Map<CallKind, Long> counts = new EnumMap<>(CallKind.class);

  /**
   * Creates a limiter whose circuit breaker is closed.
   *
   * @param liveInstances number of instances that share the rates; values below 1 count as 1
   * @param fleetWritesPerSecond write rate limit of all instances together
   * @param fleetReadsPerSecond read rate limit of all instances together
   */
  public PlatformCallLimiter(
      Scheduler scheduler,
      EventSink events,
      SplittableRandom random,
      IntSupplier liveInstances,
      int fleetWritesPerSecond,
      int fleetReadsPerSecond) {
    this.scheduler = scheduler;
    this.events = events;
    this.liveInstances = liveInstances;
    this.fleetReadsPerSecond = fleetReadsPerSecond;
    this.fleetWritesPerSecond = fleetWritesPerSecond;
    this.breaker = new CircuitBreaker(random);
    this.reads = new CallQueue("reads", fleetReadsPerSecond);
    this.writes = new CallQueue("writes", fleetWritesPerSecond);
  }

  /** Returns the number of calls of a kind sent since the start. */
  public synchronized long calls(CallKind kind) {
    return counts.getOrDefault(kind, 0L);
  }

  /** Returns whether the circuit breaker is open. */
  public synchronized boolean isOpen() {
    return breaker.isOpen();
  }

  /**
   * Sends a call as soon as the rate limit permits. Fails with NOT_RUN if the breaker is open or
   * the queue is full, and with MAY_HAVE_RUN if the platform does not respond within the timeout.
   */
  <T> CompletableFuture<T> call(
      CallKind kind, String name, Duration timeout, Supplier<CompletableFuture<T>> action) {
    CompletableFuture<T> result = new CompletableFuture<>();
    CallQueue queue = kind.isRead() ? reads : writes;
    PendingCall pending =
        new PendingCall(kind, name, probe -> send(name, timeout, action, result, probe), result);
    synchronized (this) {
      if (breaker.isOpen() && breaker.nanosToProbe(scheduler.nanoTime()) > 0) {
        result.completeExceptionally(notSent(name, "the platform does not respond"));
        return result;
      }
      if (queue.calls.size() >= MAX_QUEUED_CALLS) {
        result.completeExceptionally(
            notSent(name, "the queue of calls that wait for the rate limit is full"));
        return result;
      }
      queue.calls.addLast(pending);
    }
    sendQueuedCalls(queue);
    return result;
  }

  private void sendQueuedCalls(CallQueue queue) {
    PendingCall next = nextCall(queue);
    while (next != null) {
      next.action.accept(next.probe);
      next = nextCall(queue);
    }
  }

  private synchronized PendingCall nextCall(CallQueue queue) {
    long now = scheduler.nanoTime();
    queue.rateLimiter.callsPerSecond(
        instanceCallsPerSecond(queue == reads ? fleetReadsPerSecond : fleetWritesPerSecond), now);
    if (queue.calls.isEmpty()) {
      return null;
    }
    if (!breaker.isOpen() && !queue.rateLimiter.tryTake(now)) {
      waitForToken(queue, now);
      return null;
    }
    PendingCall next = queue.calls.removeFirst();
    boolean wasOpen = breaker.isOpen();
    boolean mayProbe = next.kind != CallKind.WATCH && (!wasOpen || queue.rateLimiter.tryTake(now));
    if (!breaker.tryAcquire(now, mayProbe)) {
      UnavailableException failure = notSent(next.name, "the platform does not respond");
      next.action = probe -> next.result.completeExceptionally(failure);
      return next;
    }
    next.probe = wasOpen;
    queue.rateLimiter.recordSent(now);
    counts.merge(next.kind, 1L, Long::sum);
    return next;
  }

  private void waitForToken(CallQueue queue, long now) {
    if (queue.waitingForToken) {
      return;
    }
    queue.waitingForToken = true;
    events.record(EventType.PLATFORM_BUDGET_SPENT, EventSubject.NONE, queue.calls.peekFirst().name);
    scheduler.schedule(
        Duration.ofNanos(queue.rateLimiter.nanosToNext(now)),
        () -> {
          synchronized (this) {
            queue.waitingForToken = false;
          }
          sendQueuedCalls(queue);
        });
  }

  private <T> void send(
      String name,
      Duration timeout,
      Supplier<CompletableFuture<T>> action,
      CompletableFuture<T> result,
      boolean probe) {
    Deadline.limit(action.get(), scheduler, timeout, () -> timedOut(name))
        .whenComplete(
            (value, failure) -> {
              recordResult(name, failure, probe);
              if (failure == null) {
                result.complete(value);
              } else {
                result.completeExceptionally(failure);
              }
            });
  }

  private void recordResult(String name, Throwable failure, boolean probe) {
    BasilportException cause =
        failure == null
            ? null
            : BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.STORE);
    // Conflicts and rejections are responses; only a missing response counts as a failure.
    boolean responded =
        cause == null || cause instanceof ConflictException || cause instanceof RejectedException;
    long openNanos = 0;
    synchronized (this) {
      long now = scheduler.nanoTime();
      if (responded) {
        openNanos = breaker.recordSuccess(now);
      } else {
        breaker.recordFailure(now, probe);
      }
    }
    if (!responded) {
      events.record(EventType.PLATFORM_UNAVAILABLE, EventSubject.NONE, name, cause.getMessage());
    } else if (openNanos > 0) {
      long millis = Duration.ofNanos(openNanos).toMillis();
      events.record(EventType.PLATFORM_AVAILABLE, EventSubject.NONE, millis);
    }
  }

  private double instanceCallsPerSecond(int fleetCallsPerSecond) {
    int instances = Math.max(1, liveInstances.getAsInt());
    return Math.max(MIN_CALLS_PER_SECOND, (double) fleetCallsPerSecond / instances);
  }

  private UnavailableException notSent(String name, String reason) {
    long nanos = Math.max(Duration.ofMillis(200).toNanos(), breaker.nanosToProbe(nanoTime()));
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE,
        Outcome.NOT_RUN,
        Step.STORE,
        "platform",
        Duration.ofNanos(nanos),
        "call " + name + " was not sent: " + reason,
        null);
  }

  private long nanoTime() {
    return scheduler.nanoTime();
  }

  private static UnavailableException timedOut(String name) {
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE,
        Outcome.MAY_HAVE_RUN,
        Step.STORE,
        "platform",
        Duration.ofSeconds(1),
        "call " + name + " had no response within its timeout and may have run",
        null);
  }

  /** Queue of calls that share a rate limit. */
  private final class CallQueue {
    private final CallRateLimiter rateLimiter;
    private final ArrayDeque<PendingCall> calls = new ArrayDeque<>();
    private boolean waitingForToken;

    CallQueue(String name, int fleetCallsPerSecond) {
      rateLimiter =
          new CallRateLimiter(
              name, instanceCallsPerSecond(fleetCallsPerSecond), scheduler.nanoTime(), events);
    }
  }

  /** Call that waits for a token. */
  private static final class PendingCall {
    private final CallKind kind;
    private final String name;
    private final CompletableFuture<?> result;
    private Consumer<Boolean> action;
    private boolean probe;

    PendingCall(CallKind kind, String name, Consumer<Boolean> action, CompletableFuture<?> result) {
      this.kind = kind;
      this.name = name;
      this.action = action;
      this.result = result;
    }
  }
}
