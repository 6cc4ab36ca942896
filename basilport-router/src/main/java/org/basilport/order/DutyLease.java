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
 * The duty of giving orders to the engines of a service, a lease on the object {@code
 * duty/<service>}. The object's version is the fencing token. Runs on the control thread.
 *
 * <p>The holder counts its time from the moment before it sent the write. A taker counts from the
 * moment at which it first saw the version, which is after the write took effect. Both use their
 * own monotonic clock, so wall clocks that differ do not matter. A paused holder that has checked
 * the lease can still send an order after the lease was taken; fencing tokens and full targets
 * cover that case.
 *
 * <p>After a lost answer the object is read. Only a record with the number of the latest write
 * confirms that write; a record with an older number leaves the older time in force, because the
 * latest write may still take effect or may never do so.
 */
public final class DutyLease {
  private static final String PREFIX = "duty/";
  private static final Duration OBSERVER_READ_SHARE = Duration.ofSeconds(1);
  private static final Duration SHORTEST_OBSERVER_INTERVAL = Duration.ofSeconds(30);
  private static final Duration CALL_LIMIT = Duration.ofSeconds(4);
  private static final long BACKOFF_BASE_MILLIS = 500;
  private static final long BACKOFF_LIMIT_MILLIS = 5_000;

  private final String service;
  private final ObjectStore store;
  private final MembershipView membership;
  private final Scheduler control;
  private final EventSink events;
  private final LeaseTiming timing;
  private final FullJitterBackoff backoff;
  private Cancellable rounds = () -> {};
  private boolean running;
  private boolean calling;
  private int failures;
  private long notBefore;
  private long renewal;
  private long writeStarted;
  private boolean held;
  private long heldUntil;
  private long token;
  private long lastRead;
  private boolean seen;
  private long seenVersion;
  private long seenSince;
  private volatile Optional<LeaseRecord> latest = Optional.empty();

  /** Creates a lease that is not held and does not try yet. */
  public DutyLease(
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
    this.backoff = new FullJitterBackoff(BACKOFF_BASE_MILLIS, BACKOFF_LIMIT_MILLIS, random);
    // An earlier lease of this process may have used small numbers in writes that came late.
    this.renewal = random.nextLong(Long.MAX_VALUE / 2);
    this.notBefore = control.nanoTime();
    this.heldUntil = control.nanoTime();
    this.lastRead = control.nanoTime();
  }

  /** Starts to try for the lease while this instance owns the service. */
  public void start() {
    if (!running) {
      running = true;
      rounds = control.scheduleRepeating(timing.round(), this::round);
    }
  }

  /** Stops, and releases a held lease so that another instance can take it at once. */
  public void stop() {
    running = false;
    rounds.cancel();
    if (token().isPresent() && !calling) {
      LeaseRecord released = new LeaseRecord("", 0, 0, control.now().toEpochMilli());
      // A release whose answer is lost only delays the next holder until the lease lapses.
      store.write(PREFIX + service, released.encode(), token);
    }
    held = false;
  }

  /** The fencing token while this instance may give orders, by its own clock. */
  public OptionalLong token() {
    boolean valid = held && control.nanoTime() - heldUntil < 0;
    return valid ? OptionalLong.of(token) : OptionalLong.empty();
  }

  /** Reads the object soon, since an engine has seen a larger token than the one held here. */
  public void recheck() {
    control.execute(this::readIfIdle);
  }

  /** The latest content of the object that this instance has seen; any thread. */
  public Optional<LeaseRecord> latest() {
    return latest;
  }

  private void round() {
    long now = control.nanoTime();
    if (held && token().isEmpty()) {
      lose("its time has run out");
    }
    if (calling || now - notBefore < 0) {
      return;
    }
    if (held && now - writeStarted >= timing.renewal().toNanos()) {
      write(token);
    } else if (!held && (candidate() || now - lastRead >= observerInterval().toNanos())) {
      read();
    }
  }

  private boolean candidate() {
    String self = membership.self().id();
    return membership.owner(PREFIX + service).map(Member::id).filter(self::equals).isPresent();
  }

  /** Few reads of the whole fleet notice an owner that cannot reach the platform. */
  private Duration observerInterval() {
    Duration shared = OBSERVER_READ_SHARE.multipliedBy(membership.members().size());
    return shared.compareTo(SHORTEST_OBSERVER_INTERVAL) < 0 ? SHORTEST_OBSERVER_INTERVAL : shared;
  }

  private void read() {
    calling = true;
    lastRead = control.nanoTime();
    limited(store.read(PREFIX + service))
        .whenCompleteAsync((found, failure) -> readAnswer(found, failure), control);
  }

  private void readAnswer(Optional<StoredObject> found, Throwable failure) {
    calling = false;
    if (failure != null) {
      retryLater();
      return;
    }
    failures = 0;
    if (!running) {
      return;
    }
    long now = control.nanoTime();
    long version = found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
    if (!seen || version != seenVersion) {
      seen = true;
      seenVersion = version;
      seenSince = now;
    }
    latest = found.flatMap(object -> LeaseRecord.decode(object.value()));
    Member self = membership.self();
    boolean own = latest.filter(r -> r.heldBy(self.id(), self.incarnation())).isPresent();
    if (own) {
      confirmOwn(version);
    } else {
      lose("another instance has it");
      takeWhenLapsed(found.isEmpty(), version, now);
    }
  }

  private void confirmOwn(long version) {
    boolean latestWrite = latest.get().renewal() == renewal;
    if (latestWrite) {
      hold(version);
    } else if (held) {
      token = version;
    }
    // The next write is conditional on this version, so an older write can no longer take effect.
    if (token().isEmpty() || !latestWrite) {
      write(version);
    }
  }

  private void takeWhenLapsed(boolean absent, long version, long now) {
    boolean released = latest.map(LeaseRecord::isReleased).orElse(absent);
    boolean lapsed = now - seenSince >= timing.duration().toNanos();
    boolean longLapsed = now - seenSince >= SHORTEST_OBSERVER_INTERVAL.toNanos();
    if ((released || lapsed) && candidate() || longLapsed) {
      write(version);
    }
  }

  private void write(long expected) {
    calling = true;
    renewal++;
    writeStarted = control.nanoTime();
    Member self = membership.self();
    Duration duration = timing.duration();
    LeaseRecord record =
        new LeaseRecord(
            self.id(), self.incarnation(), renewal, control.now().plus(duration).toEpochMilli());
    limited(store.write(PREFIX + service, record.encode(), expected))
        .whenCompleteAsync(
            (version, failure) -> writeAnswer(record, expected, version, failure), control);
  }

  private void writeAnswer(LeaseRecord record, long expected, Long version, Throwable failure) {
    calling = false;
    if (failure == null) {
      if (version <= expected) {
        // Without growing versions there are no fencing tokens, so this instance stops for good.
        lose("the platform repeated a version");
        running = false;
        rounds.cancel();
      }
      Invariant.check(
          version > expected,
          events,
          "fencing-token-grows",
          "duty of " + service + ": version " + version + " after " + expected);
      failures = 0;
      latest = Optional.of(record);
      if (running) {
        hold(version);
      }
      return;
    }
    boolean conflict =
        BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.STORE)
            instanceof ConflictException;
    if (!conflict) {
      retryLater();
    }
    if (running) {
      // A conflict may come from an own write whose answer was lost, so the object decides.
      control.schedule(delayUntilRetry(), this::readIfIdle);
    }
  }

  /** A call that never ends must not keep this instance from trying again. */
  private <T> CompletableFuture<T> limited(CompletableFuture<T> call) {
    return Deadline.limit(
        call,
        control,
        CALL_LIMIT,
        () ->
            new UnavailableException(
                FailureCode.TIMEOUT,
                Outcome.MAY_HAVE_RUN,
                Step.STORE,
                PREFIX + service,
                null,
                "the platform did not answer in time",
                null));
  }

  private void readIfIdle() {
    if (running && !calling) {
      read();
    }
  }

  private void hold(long version) {
    boolean before = held;
    token = version;
    heldUntil = writeStarted + timing.duration().minus(timing.margin()).toNanos();
    held = control.nanoTime() - heldUntil < 0;
    if (held && !before) {
      events.record(
          EventType.DUTY_ACQUIRED, EventSubject.NONE, service, membership.self().id(), token);
    }
  }

  private void lose(String reason) {
    if (held) {
      held = false;
      events.record(
          EventType.DUTY_LOST, EventSubject.NONE, service, membership.self().id(), reason);
    }
  }

  private void retryLater() {
    failures++;
    notBefore = control.nanoTime() + Duration.ofMillis(backoff.delayMillis(failures)).toNanos();
  }

  private Duration delayUntilRetry() {
    return Duration.ofNanos(Math.max(0, notBefore - control.nanoTime()));
  }
}
