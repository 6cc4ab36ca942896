package org.basilport.claim;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.event.EventSink;
import org.basilport.event.Invariant;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;
import org.basilport.policy.limit.FullJitterBackoff;

/**
 * Updates shared objects with at most one conditional write in flight per object; changes that
 * arrive meanwhile are batched into the next write. All state is confined to the control scheduler.
 *
 * <p>After a conflict or a write of unknown outcome, the object is read again and the changes are
 * reapplied. A change must therefore be idempotent.
 *
 * @param <S> content of an object
 */
public final class GroupCommit<S> {
  /** Converts the content of an object to and from its stored bytes. */
  public interface Codec<S> {
    /** Returns the content of an object that does not exist. */
    S empty();

    /** Returns the stored bytes of the content. */
    byte[] encode(S state);

    /** Returns the content of the stored bytes. */
    S decode(byte[] value);
  }

  /**
   * An idempotent change of an object.
   *
   * @param <S> content of an object
   * @param <R> result of the change
   */
  @FunctionalInterface
  public interface Change<S, R> {
    /** Applies the change to the content; returns its result and whether the content changed. */
    Applied<R> apply(S state);
  }

  /**
   * The effect of applying a change.
   *
   * @param result result to return once the content is known to be stored
   * @param changed whether the content differs from before
   */
  public record Applied<R>(R result, boolean changed) {}

  private static final int MAX_BATCH_CHANGES = 512;
  // Leaves headroom below the platform's limit for data that a later change adds.
  private static final int MAX_OBJECT_BYTES = ObjectStore.MAX_VALUE_BYTES - 50_000;
  private static final Duration BATCH_FAILURE_RETRY_AFTER = Duration.ofMinutes(1);
  private static final int MAX_QUEUES = 1_024;

  private final ObjectStore store;
  private final Scheduler control;
  private final Codec<S> codec;
  private final EventSink events;
  private final Duration timeout;
  private final FullJitterBackoff backoff;
  private final Map<String, ObjectQueue> queues = new HashMap<>();

  /**
   * Creates a group commit without pending changes.
   *
   * @param timeout time after which a pending change fails
   */
  public GroupCommit(
      ObjectStore store,
      Scheduler control,
      Codec<S> codec,
      EventSink events,
      Duration timeout,
      SplittableRandom random) {
    this.store = store;
    this.control = control;
    this.codec = codec;
    this.events = events;
    this.timeout = timeout;
    this.backoff = new FullJitterBackoff(Duration.ofMillis(10), Duration.ofMillis(500), random);
  }

  /**
   * Applies a change. The future fails with {@code UnavailableException} if the object is not known
   * to be stored within the timeout: outcome NOT_RUN means that the change was never written,
   * MAY_HAVE_RUN that it may have taken effect or may still do so.
   */
  public <R> CompletableFuture<R> apply(String object, Change<S, R> change) {
    return submit(object, change, false);
  }

  /** Like {@link #apply}, but reads the object first even if its content is cached. */
  public <R> CompletableFuture<R> applyToLatest(String object, Change<S, R> change) {
    return submit(object, change, true);
  }

  private <R> CompletableFuture<R> submit(String object, Change<S, R> change, boolean readFirst) {
    PendingChange<S, R> pending = new PendingChange<>(change);
    control.execute(
        () -> {
          ObjectQueue queue = queues.computeIfAbsent(object, ObjectQueue::new);
          if (readFirst && !queue.inFlight) {
            queue.cached = false;
          }
          queue.waiting.add(pending);
          queue.advance();
        });
    control.schedule(timeout, () -> pending.expire(object));
    return pending.result;
  }

  /** Drops the cached content of idle objects when there are too many. */
  private void evictIdleQueues() {
    if (queues.size() > MAX_QUEUES) {
      queues.values().removeIf(queue -> !queue.inFlight && queue.waiting.isEmpty());
    }
  }

  private static final class PendingChange<S, R> {
    private final Change<S, R> change;
    private final CompletableFuture<R> result = new CompletableFuture<>();
    private Applied<R> applied;
    // Whether a write with the change may have taken effect.
    private boolean mayBeStored;
    private boolean mayHaveBeenStoredBefore;

    PendingChange(Change<S, R> change) {
      this.change = change;
    }

    boolean apply(S state) {
      applied = change.apply(state);
      return applied.changed();
    }

    void writeStarted() {
      mayHaveBeenStoredBefore = mayBeStored;
      mayBeStored = true;
    }

    void writeConflicted() {
      mayBeStored = mayHaveBeenStoredBefore;
    }

    void complete() {
      result.complete(applied.result());
    }

    void expire(String object) {
      fail(
          new UnavailableException(
              FailureCode.PLATFORM_UNAVAILABLE,
              mayBeStored ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN,
              Step.STORE,
              object,
              Duration.ofSeconds(1),
              "the platform did not confirm the change of " + object + " in time",
              null));
    }

    void fail(BasilportException failure) {
      result.completeExceptionally(failure);
    }
  }

  /** The pending changes and the cached content of one object. */
  private final class ObjectQueue {
    private final String name;
    private final Deque<PendingChange<S, ?>> waiting = new ArrayDeque<>();
    private List<PendingChange<S, ?>> batch = new ArrayList<>();
    private boolean inFlight;
    // Null if the object does not exist; valid only while the content is cached.
    private byte[] value;
    private long version = ObjectStore.ABSENT;
    private boolean cached;
    private int failures;

    ObjectQueue(String name) {
      this.name = name;
    }

    void advance() {
      if (inFlight) {
        return;
      }
      while (!waiting.isEmpty() && batch.size() < MAX_BATCH_CHANGES) {
        batch.add(waiting.remove());
      }
      // A change that timed out must not be written.
      batch.removeIf(pending -> pending.result.isDone());
      if (batch.isEmpty()) {
        evictIdleQueues();
        return;
      }
      inFlight = true;
      if (cached) {
        write(false);
      } else {
        read();
      }
    }

    private void read() {
      store
          .read(name)
          .whenComplete((found, failure) -> control.execute(() -> onRead(found, failure)));
    }

    private void onRead(Optional<StoredObject> found, Throwable failure) {
      if (failure != null) {
        retryLater();
        return;
      }
      cached = true;
      value = found.map(StoredObject::value).orElse(null);
      version = found.map(StoredObject::version).orElse(ObjectStore.ABSENT);
      write(true);
    }

    private void write(boolean freshlyRead) {
      try {
        writeBatch(freshlyRead);
      } catch (RuntimeException e) {
        // An invariant violation or an unreadable object must not block later changes.
        cached = false;
        failBatch(FailureCode.INTERNAL, "the object " + name + " cannot be changed: " + e);
        throw e;
      }
    }

    private void writeBatch(boolean freshlyRead) {
      S state = value == null ? codec.empty() : codec.decode(value);
      batch.removeIf(pending -> pending.result.isDone());
      boolean changed = false;
      for (PendingChange<S, ?> pending : batch) {
        changed |= pending.apply(state);
      }
      if (!changed && !freshlyRead) {
        // Another instance may have changed the object; the result requires the latest content.
        read();
        return;
      }
      if (!changed) {
        completeBatch();
        return;
      }
      byte[] next = codec.encode(state);
      if (next.length > MAX_OBJECT_BYTES) {
        cached = false;
        failBatch(FailureCode.OVER_LIMIT, "the object " + name + " is full");
        return;
      }
      long expected = version;
      batch.forEach(PendingChange::writeStarted);
      store
          .write(name, next, expected)
          .whenComplete(
              (written, failure) ->
                  control.execute(() -> onWritten(next, expected, written, failure)));
    }

    private void onWritten(byte[] next, long expected, Long written, Throwable failure) {
      if (failure == null) {
        Invariant.check(written > expected, events, "versions grow", name + "@" + written);
        value = next;
        version = written;
        completeBatch();
        return;
      }
      cached = false;
      BasilportException cause = BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.STORE);
      if (cause instanceof ConflictException) {
        batch.forEach(PendingChange::writeConflicted);
      }
      retryLater();
    }

    private void retryLater() {
      failures++;
      cached = false;
      control.schedule(
          backoff.delay(failures),
          () -> {
            inFlight = false;
            advance();
          });
    }

    private void completeBatch() {
      List<PendingChange<S, ?>> completed = batch;
      batch = new ArrayList<>();
      inFlight = false;
      failures = 0;
      completed.forEach(PendingChange::complete);
      advance();
    }

    private void failBatch(FailureCode code, String message) {
      List<PendingChange<S, ?>> failed = batch;
      batch = new ArrayList<>();
      inFlight = false;
      for (PendingChange<S, ?> pending : failed) {
        pending.fail(
            new UnavailableException(
                code,
                pending.mayBeStored ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN,
                Step.STORE,
                name,
                BATCH_FAILURE_RETRY_AFTER,
                message,
                null));
      }
      advance();
    }
  }
}
