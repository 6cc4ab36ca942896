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
 * The only way to the platform: the instance's share of the fleet's call rates and a circuit
 * breaker. Safe to call from any thread.
 */
public final class PlatformGate {
  private static final int MAX_QUEUED = 512;
  private static final int MIN_CALLS_PER_SECOND = 1;

  private final Scheduler scheduler;
  private final EventSink events;
  private final IntSupplier liveInstances;
  private final int fleetReads;
  private final int fleetWrites;
  private final CircuitBreaker breaker;
  private final Lane reads;
  private final Lane writes;
  private final Map<CallKind, Long> counts = new EnumMap<>(CallKind.class);

  /**
   * Creates a gate.
   *
   * @param liveInstances number of instances that share the rates, at least 1
   * @param fleetWrites writes per second of all instances together
   * @param fleetReads reads per second of all instances together
   */
  public PlatformGate(
      Scheduler scheduler,
      EventSink events,
      SplittableRandom random,
      IntSupplier liveInstances,
      int fleetWrites,
      int fleetReads) {
    this.scheduler = scheduler;
    this.events = events;
    this.liveInstances = liveInstances;
    this.fleetReads = fleetReads;
    this.fleetWrites = fleetWrites;
    this.breaker = new CircuitBreaker(random);
    this.reads = new Lane("reads", fleetReads);
    this.writes = new Lane("writes", fleetWrites);
  }

  /** Number of calls of a kind that were sent since the start. */
  public synchronized long calls(CallKind kind) {
    return counts.getOrDefault(kind, 0L);
  }

  /** Whether the circuit breaker stops calls. */
  public synchronized boolean open() {
    return breaker.isOpen();
  }

  /**
   * Sends a call when the budget allows it. Fails with NOT_RUN when the breaker is open or too many
   * calls wait, and with MAY_HAVE_RUN when the platform does not answer within the limit.
   */
  <T> CompletableFuture<T> call(
      CallKind kind, String name, Duration limit, Supplier<CompletableFuture<T>> action) {
    CompletableFuture<T> result = new CompletableFuture<>();
    Lane lane = kind.isRead() ? reads : writes;
    Pending pending =
        new Pending(kind, name, probe -> send(name, limit, action, result, probe), result);
    synchronized (this) {
      if (breaker.isOpen() && breaker.nanosToProbe(scheduler.nanoTime()) > 0) {
        result.completeExceptionally(refused(name, "the platform does not answer"));
        return result;
      }
      if (lane.queue.size() >= MAX_QUEUED) {
        result.completeExceptionally(refused(name, "too many calls wait for the call budget"));
        return result;
      }
      lane.queue.addLast(pending);
    }
    drain(lane);
    return result;
  }

  private void drain(Lane lane) {
    Pending next = take(lane);
    while (next != null) {
      next.action.accept(next.probe);
      next = take(lane);
    }
  }

  private synchronized Pending take(Lane lane) {
    long now = scheduler.nanoTime();
    lane.budget.rate(share(lane == reads ? fleetReads : fleetWrites), now);
    if (lane.queue.isEmpty()) {
      return null;
    }
    if (!breaker.isOpen() && !lane.budget.tryTake(now)) {
      waitForToken(lane, now);
      return null;
    }
    Pending next = lane.queue.removeFirst();
    boolean wasOpen = breaker.isOpen();
    boolean mayProbe = next.kind != CallKind.WATCH && (!wasOpen || lane.budget.tryTake(now));
    if (!breaker.permit(now, mayProbe)) {
      UnavailableException refusal = refused(next.name, "the platform does not answer");
      next.action = probe -> next.result.completeExceptionally(refusal);
      return next;
    }
    next.probe = wasOpen;
    lane.budget.sent(now);
    counts.merge(next.kind, 1L, Long::sum);
    return next;
  }

  private void waitForToken(Lane lane, long now) {
    if (lane.waiting) {
      return;
    }
    lane.waiting = true;
    events.record(EventType.PLATFORM_BUDGET_SPENT, EventSubject.NONE, lane.queue.peekFirst().name);
    scheduler.schedule(
        Duration.ofNanos(lane.budget.nanosToNext(now)),
        () -> {
          synchronized (this) {
            lane.waiting = false;
          }
          drain(lane);
        });
  }

  private <T> void send(
      String name,
      Duration limit,
      Supplier<CompletableFuture<T>> action,
      CompletableFuture<T> result,
      boolean probe) {
    Deadline.limit(action.get(), scheduler, limit, () -> timedOut(name))
        .whenComplete(
            (value, failure) -> {
              finished(name, failure, probe);
              if (failure == null) {
                result.complete(value);
              } else {
                result.completeExceptionally(failure);
              }
            });
  }

  private void finished(String name, Throwable failure, boolean probe) {
    BasilportException cause =
        failure == null
            ? null
            : BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.STORE);
    // A conflict or a refusal is an answer; only a missing answer counts against the platform.
    boolean answered =
        cause == null || cause instanceof ConflictException || cause instanceof RejectedException;
    long openNanos = 0;
    synchronized (this) {
      long now = scheduler.nanoTime();
      if (answered) {
        openNanos = breaker.succeeded(now);
      } else {
        breaker.failed(now, probe);
      }
    }
    if (!answered) {
      events.record(EventType.PLATFORM_UNAVAILABLE, EventSubject.NONE, name, cause.getMessage());
    } else if (openNanos > 0) {
      long millis = Duration.ofNanos(openNanos).toMillis();
      events.record(EventType.PLATFORM_AVAILABLE, EventSubject.NONE, millis);
    }
  }

  private double share(int fleetRate) {
    int instances = Math.max(1, liveInstances.getAsInt());
    return Math.max(MIN_CALLS_PER_SECOND, (double) fleetRate / instances);
  }

  private UnavailableException refused(String name, String reason) {
    long nanos = Math.max(Duration.ofMillis(200).toNanos(), breaker.nanosToProbe(now()));
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE,
        Outcome.NOT_RUN,
        Step.STORE,
        "platform",
        Duration.ofNanos(nanos),
        "call " + name + " was not sent: " + reason,
        null);
  }

  private long now() {
    return scheduler.nanoTime();
  }

  private static UnavailableException timedOut(String name) {
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE,
        Outcome.MAY_HAVE_RUN,
        Step.STORE,
        "platform",
        Duration.ofSeconds(1),
        "call " + name + " was not answered in time",
        null);
  }

  /** Calls that share a rate. */
  private final class Lane {
    private final CallBudget budget;
    private final ArrayDeque<Pending> queue = new ArrayDeque<>();
    private boolean waiting;

    Lane(String name, int fleetRate) {
      budget = new CallBudget(name, share(fleetRate), scheduler.nanoTime(), events);
    }
  }

  /** A call that waits for a token. */
  private static final class Pending {
    private final CallKind kind;
    private final String name;
    private final CompletableFuture<?> result;
    private Consumer<Boolean> action;
    private boolean probe;

    Pending(CallKind kind, String name, Consumer<Boolean> action, CompletableFuture<?> result) {
      this.kind = kind;
      this.name = name;
      this.action = action;
      this.result = result;
    }
  }
}
