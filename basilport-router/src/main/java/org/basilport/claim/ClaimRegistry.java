package org.basilport.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.event.Invariant;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;

/** Claims request keys in the platform's object API; safe to use from any thread. */
public final class ClaimRegistry {
  private static final Duration PATIENCE = Duration.ofSeconds(2);
  private static final Duration OUTCOME_DELAY = Duration.ofSeconds(2);
  private static final Duration BACKGROUND_RETRY = Duration.ofSeconds(5);

  private final GroupCommit<ClaimObject> commits;
  private final Scheduler control;
  private final EventSink events;

  /** Creates a registry whose state is confined to the control scheduler. */
  public ClaimRegistry(
      ObjectStore store, Scheduler control, EventSink events, SplittableRandom random) {
    this.commits = new GroupCommit<>(store, control, ClaimObject.CODEC, events, PATIENCE, random);
    this.control = control;
    this.events = events;
  }

  /**
   * Claims a key for an attempt that was not sent yet. When the result fails, the attempt must
   * never be sent; the claim is then released in the background.
   */
  CompletableFuture<ClaimDecision> claim(RequestKey key, String attemptId) {
    CompletableFuture<ClaimDecision> decision =
        commits.apply(key.objectName(), object -> decide(object, key.hash(), attemptId));
    return decision.handle(
        (decided, failure) -> {
          if (failure != null) {
            releaseInBackground(key, attemptId);
          } else if (decided.kind() == ClaimDecision.Kind.HELD) {
            record(EventType.CLAIM_RECORDED, key, attemptId);
          } else {
            record(EventType.CLAIM_REFUSED, key, decided.kind());
          }
          if (failure != null) {
            throw unavailable(key);
          }
          return decided;
        });
  }

  /** Frees the key after the attempt decided never to send. */
  void release(ClaimTicket ticket) {
    ticket.release();
    releaseInBackground(ticket.key(), ticket.attemptId());
  }

  /** Records the outcome later, together with other outcomes. */
  void finish(ClaimTicket ticket, int status, long digest) {
    control.schedule(OUTCOME_DELAY, () -> recordOutcome(ticket, status, digest));
  }

  /** The refusal of an attempt that did not get the claim. */
  static RuntimeException refusal(ClaimDecision decision, RequestKey key) {
    if (decision.kind() == ClaimDecision.Kind.CLOSED) {
      return new RejectedException(
          FailureCode.EXPIRED,
          Step.CLAIM,
          "the request key has expired; this attempt was not run, an earlier one may have run");
    }
    return new ConflictException(
        Step.CLAIM,
        key.objectName(),
        "this attempt was not run; an earlier attempt with the same key may have run");
  }

  /** The outcome is NOT_RUN also when the claim is in doubt, since nothing is sent under it. */
  private static UnavailableException unavailable(RequestKey key) {
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE,
        Outcome.NOT_RUN,
        Step.CLAIM,
        key.objectName(),
        Duration.ofSeconds(1),
        "the claim of the request key could not be recorded",
        null);
  }

  private static GroupCommit.Applied<ClaimDecision> decide(
      ClaimObject object, String hash, String attemptId) {
    if (object.closed()) {
      return unchanged(ClaimDecision.of(ClaimDecision.Kind.CLOSED));
    }
    Optional<Claim> found = object.find(hash);
    boolean mine = found.isPresent() && found.get().attemptId().equals(attemptId);
    if (mine && found.get().state() == Claim.State.CLAIMED) {
      return unchanged(ClaimDecision.of(ClaimDecision.Kind.HELD));
    }
    if (found.isEmpty() || !mine && found.get().state() == Claim.State.RELEASED) {
      object.put(hash, new Claim(attemptId, Claim.State.CLAIMED, 0, 0));
      return new GroupCommit.Applied<>(ClaimDecision.of(ClaimDecision.Kind.HELD), true);
    }
    if (found.get().state() == Claim.State.FINISHED) {
      int status = found.get().status();
      return unchanged(new ClaimDecision(ClaimDecision.Kind.FINISHED, status));
    }
    return unchanged(ClaimDecision.of(ClaimDecision.Kind.IN_PROGRESS));
  }

  private void releaseInBackground(RequestKey key, String attemptId) {
    if (RequestKey.ACCEPTED_FOR.toSeconds() * 2 + key.issuedSeconds()
        < control.now().getEpochSecond()) {
      return;
    }
    commits
        .apply(key.objectName(), object -> released(object, key.hash(), attemptId))
        .whenComplete(
            (done, failure) -> {
              if (failure == null) {
                record(EventType.CLAIM_RELEASED, key, attemptId);
              } else {
                control.schedule(BACKGROUND_RETRY, () -> releaseInBackground(key, attemptId));
              }
            });
  }

  /**
   * Marks the claim as released. A claim that is not there yet is marked too: the new version of
   * the object then stops a write of the claim that is still on its way.
   */
  private static GroupCommit.Applied<Boolean> released(
      ClaimObject object, String hash, String attemptId) {
    Optional<Claim> found = object.find(hash);
    boolean mine = found.isPresent() && found.get().attemptId().equals(attemptId);
    boolean open = mine && found.get().state() == Claim.State.CLAIMED;
    if (object.closed() || !found.isEmpty() && !open) {
      return new GroupCommit.Applied<>(true, false);
    }
    object.put(hash, new Claim(attemptId, Claim.State.RELEASED, 0, 0));
    return new GroupCommit.Applied<>(true, true);
  }

  private void recordOutcome(ClaimTicket ticket, int status, long digest) {
    RequestKey key = ticket.key();
    commits
        .applyToLatest(
            key.objectName(),
            object -> finished(object, key.hash(), ticket.attemptId(), status, digest))
        .exceptionally(
            failure -> {
              if (control.now().getEpochSecond() - key.issuedSeconds()
                  < RequestKey.ACCEPTED_FOR.toSeconds()) {
                control.schedule(BACKGROUND_RETRY, () -> recordOutcome(ticket, status, digest));
              }
              return false;
            });
  }

  private GroupCommit.Applied<Boolean> finished(
      ClaimObject object, String hash, String attemptId, int status, long digest) {
    if (object.closed()) {
      return new GroupCommit.Applied<>(false, false);
    }
    Optional<Claim> found = object.find(hash);
    String holder = found.map(Claim::attemptId).orElse("nobody");
    Invariant.check(
        holder.equals(attemptId),
        events,
        "a request that may not be repeated runs at most once",
        "attempt " + attemptId + " ran, but the claim is held by " + holder);
    if (found.get().state() == Claim.State.FINISHED) {
      return new GroupCommit.Applied<>(true, false);
    }
    object.put(hash, new Claim(attemptId, Claim.State.FINISHED, status, digest));
    return new GroupCommit.Applied<>(true, true);
  }

  private static GroupCommit.Applied<ClaimDecision> unchanged(ClaimDecision decision) {
    return new GroupCommit.Applied<>(decision, false);
  }

  private void record(EventType type, RequestKey key, Object detail) {
    events.record(type, EventSubject.request(key.text(), key.workspace()), key.text(), detail);
  }
}
