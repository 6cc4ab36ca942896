package org.basilport.order;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.event.Invariant;
import org.basilport.membership.Member;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Deadline;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;
import org.basilport.policy.limit.FullJitterBackoff;

/**
 * Lease on the object {@code duty/<service>}, whose holder is the only instance that sends orders
 * to the engines of the service. The object's version is the fencing token. Confined to the control
 * scheduler unless noted otherwise.
 *
 * <p>The holder measures the lease duration from just before it sent the write; other instances
 * measure it from when they first observed the version, which is after the write took effect. Both
 * use their own monotonic clock, so wall clock differences do not matter. A holder that is paused
 * after it checked the lease can still send an order after another instance acquired the lease;
 * fencing tokens and orders with full targets cover that case.
 *
 * <p>After a write whose response was lost, the object is read. Only a record with the renewal
 * number of the latest write confirms that write. With an older number the earlier expiry stays in
 * force, because the latest write may or may not take effect later.
 */
public final class LeaderLease {
  private static final String PREFIX = "duty/";
  private static final Duration OBSERVER_INTERVAL_PER_INSTANCE = Duration.ofSeconds(1);
  private static final Duration MIN_OBSERVER_INTERVAL = Duration.ofSeconds(30);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);
  private static final long BACKOFF_BASE_MILLIS = 500;
  private static final long MAX_BACKOFF_MILLIS = 5_000;

  private final String service;
  private final ObjectStore store;
  private final MembershipView membership;
  private final Scheduler control;
  private final EventSink events;
  private final LeaseTiming timing;
  private final FullJitterBackoff backoff;
  private Cancellable roundTimer = () -> {};
  private boolean running;
  private boolean callInFlight;
  private int failures;
  private long nextCallNanos;
  private long renewal;
  private long writeStartedNanos;
  private boolean held;
  private long heldUntilNanos;
  private long token;
  private long lastReadNanos;
  private boolean versionObserved;
  private long observedVersion;
  private long observedSinceNanos;
  private volatile Optional<LeaseRecord> latest = Optional.empty();

  /** Creates a lease that is not held and has not started. */
  public LeaderLease(
      String service,
      ObjectStore store,
      MembershipView membership,
      Scheduler control,
      EventSink events,
      LeaseTiming timing,
      SplittableRandom random) {
    this.service = service;
    this.store = store;
    this.membership = membership;
    this.control = control;
    this.events = events;
    this.timing = timing;
    this.backoff = new FullJitterBackoff(BACKOFF_BASE_MILLIS, MAX_BACKOFF_MILLIS, random);
    // A random start: delayed writes of an earlier lease of this process may carry small numbers.
    this.renewal = random.nextLong(Long.MAX_VALUE / 2);
    this.nextCallNanos = control.nanoTime();
    this.heldUntilNanos = control.nanoTime();
    this.lastReadNanos = control.nanoTime();
  }

  /** Starts to acquire the lease while this instance is its preferred holder. */
  public void start() {
    if (!running) {
      running = true;
      roundTimer = control.scheduleRepeating(timing.round(), this::runRound);
    }
  }

  /** Stops, and releases a held lease so that another instance can acquire it at once. */
  public void stop() {
    running = false;
    roundTimer.cancel();
    if (token().isPresent() && !callInFlight) {
      LeaseRecord released = new LeaseRecord("", 0, 0, control.now().toEpochMilli());
      // If the release is lost, the next holder only has to wait until the lease expires.
      store.write(PREFIX + service, released.encode(), token);
    }
    held = false;
  }

  /** Returns the fencing token, empty unless this instance holds the lease by its own clock. */
  public OptionalLong token() {
    boolean valid = held && control.nanoTime() - heldUntilNanos < 0;
    return valid ? OptionalLong.of(token) : OptionalLong.empty();
  }

  /** Reads the object, after an engine reported a larger token than the one held here. */
  public void recheck() {
    control.execute(this::readIfIdle);
  }

  /** Returns the latest content of the object that this instance has seen; any thread. */
  public Optional<LeaseRecord> latest() {
    return latest;
  }

  private void runRound() {
    long now = control.nanoTime();
    if (held && token().isEmpty()) {
      recordLost("the lease expired");
    }
    if (callInFlight || now - nextCallNanos < 0) {
      return;
    }
    if (held && now - writeStartedNanos >= timing.renewal().toNanos()) {
      write(token);
    } else if (!held
        && (preferredHolder() || now - lastReadNanos >= observerInterval().toNanos())) {
      read();
    }
  }

  private boolean preferredHolder() {
    String self = membership.self().id();
    return membership.owner(PREFIX + service).map(Member::id).filter(self::equals).isPresent();
  }

  /**
   * Returns the interval at which an instance that is not the preferred holder reads the object, to
   * notice an owner that cannot reach the platform. It grows with the number of instances, which
   * bounds the read rate of the fleet.
   */
  private Duration observerInterval() {
    Duration shared = OBSERVER_INTERVAL_PER_INSTANCE.multipliedBy(membership.members().size());
    return shared.compareTo(MIN_OBSERVER_INTERVAL) < 0 ? MIN_OBSERVER_INTERVAL : shared;
  }

  private void read() {
    callInFlight = true;
    lastReadNanos = control.nanoTime();
    withTimeout(store.read(PREFIX + service))
        .whenCompleteAsync((found, failure) -> onRead(found, failure), control);
  }

  private void onRead(Optional<StoredObject> found, Throwable failure) {
    callInFlight = false;
    if (failure != null) {
      backOff();
      return;
    }
    failures = 0;
    if (!running) {
      return;
    }
    long now = control.nanoTime();
    long version = found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
    if (!versionObserved || version != observedVersion) {
      versionObserved = true;
      observedVersion = version;
      observedSinceNanos = now;
    }
    latest = found.flatMap(object -> LeaseRecord.decode(object.value()));
    Member self = membership.self();
    boolean ownRecord = latest.filter(r -> r.heldBy(self.id(), self.incarnation())).isPresent();
    if (ownRecord) {
      confirmOwnRecord(version);
    } else {
      recordLost("another instance holds the lease");
      acquireIfExpired(found.isEmpty(), version, now);
    }
  }

  private void confirmOwnRecord(long version) {
    boolean confirmsLatestWrite = latest.get().renewal() == renewal;
    if (confirmsLatestWrite) {
      recordHeld(version);
    } else if (held) {
      token = version;
    }
    // The next write is conditional on this version, so older writes can no longer take effect.
    if (token().isEmpty() || !confirmsLatestWrite) {
      write(version);
    }
  }

  private void acquireIfExpired(boolean absent, long version, long now) {
    boolean released = latest.map(LeaseRecord::isReleased).orElse(absent);
    boolean expired = now - observedSinceNanos >= timing.duration().toNanos();
    // The preferred holder had time to acquire the lease, so any instance may acquire it now.
    boolean unclaimed = now - observedSinceNanos >= MIN_OBSERVER_INTERVAL.toNanos();
    if ((released || expired) && preferredHolder() || unclaimed) {
      write(version);
    }
  }

  private void write(long expected) {
    callInFlight = true;
    renewal++;
    writeStartedNanos = control.nanoTime();
    Member self = membership.self();
    Duration duration = timing.duration();
    LeaseRecord record =
        new LeaseRecord(
            self.id(), self.incarnation(), renewal, control.now().plus(duration).toEpochMilli());
    withTimeout(store.write(PREFIX + service, record.encode(), expected))
        .whenCompleteAsync(
            (version, failure) -> onWritten(record, expected, version, failure), control);
  }

  private void onWritten(LeaseRecord record, long expected, Long version, Throwable failure) {
    callInFlight = false;
    if (failure == null) {
      if (version <= expected) {
        // Without growing versions there are no fencing tokens, so this lease stops permanently.
        recordLost("the platform returned a version that did not grow");
        running = false;
        roundTimer.cancel();
      }
      Invariant.check(
          version > expected,
          events,
          "fencing-token-grows",
          "leader lease of " + service + ": version " + version + " after " + expected);
      failures = 0;
      latest = Optional.of(record);
      if (running) {
        recordHeld(version);
      }
      return;
    }
    boolean conflict =
        BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.STORE)
            instanceof ConflictException;
    if (!conflict) {
      backOff();
    }
    if (running) {
      // The conflict may stem from an own write whose response was lost, so read the object.
      control.schedule(remainingBackoff(), this::readIfIdle);
    }
  }

  /** Limits a call, so that one that never completes does not block further calls. */
  private <T> CompletableFuture<T> withTimeout(CompletableFuture<T> call) {
    return Deadline.limit(
        call,
        control,
        CALL_TIMEOUT,
        () ->
            new UnavailableException(
                FailureCode.TIMEOUT,
                Outcome.MAY_HAVE_RUN,
                Step.STORE,
                PREFIX + service,
                null,
                "the platform did not respond in time",
                null));
  }

  private void readIfIdle() {
    if (running && !callInFlight) {
      read();
    }
  }

  private void recordHeld(long version) {
    boolean wasHeld = held;
    token = version;
    heldUntilNanos = writeStartedNanos + timing.duration().minus(timing.margin()).toNanos();
    held = control.nanoTime() - heldUntilNanos < 0;
    if (held && !wasHeld) {
      events.record(
          EventType.DUTY_ACQUIRED, EventSubject.NONE, service, membership.self().id(), token);
    }
  }

  private void recordLost(String reason) {
    if (held) {
      held = false;
      events.record(
          EventType.DUTY_LOST, EventSubject.NONE, service, membership.self().id(), reason);
    }
  }

  private void backOff() {
    failures++;
    nextCallNanos = control.nanoTime() + Duration.ofMillis(backoff.delayMillis(failures)).toNanos();
  }

  private Duration remainingBackoff() {
    return Duration.ofNanos(Math.max(0, nextCallNanos - control.nanoTime()));
  }
}
