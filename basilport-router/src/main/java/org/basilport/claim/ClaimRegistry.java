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

/** Records claims on request keys in the platform's object store; safe to use from any thread. */
public final class ClaimRegistry {
  private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration OUTCOME_DELAY = Duration.ofSeconds(2);
  private static final Duration BACKGROUND_RETRY_DELAY = Duration.ofSeconds(5);

  private final GroupCommit<ClaimObject> commits;
  private final Scheduler control;
  private final EventSink events;

  /** Creates a registry whose state is confined to the control scheduler. */
  public ClaimRegistry(
      ObjectStore store, Scheduler control, EventSink events, SplittableRandom random) {
    this.commits =
        new GroupCommit<>(store, control, ClaimObject.CODEC, events, CLAIM_TIMEOUT, random);
    this.control = control;
    this.events = events;
  }

  /**
   * Claims a key for an attempt that has not been sent. If the future fails, the attempt must never
   * be sent; the claim is then released in the background.
   */
  CompletableFuture<ClaimDecision> claim(RequestKey key, String attemptId) {
    CompletableFuture<ClaimDecision> decision =
        commits.apply(key.objectName(), object -> applyClaim(object, key.hash(), attemptId));
    return decision.handle(
        (result, failure) -> {
          if (failure != null) {
            releaseInBackground(key, attemptId);
          } else if (result.kind() == ClaimDecision.Kind.HELD) {
            record(EventType.CLAIM_RECORDED, key, attemptId);
          } else {
            record(EventType.CLAIM_REFUSED, key, result.kind());
          }
          if (failure != null) {
            throw unavailable(key);
          }
          return result;
        });
  }

  /** Releases the key of an attempt that will never be sent. */
  void release(SendPermit permit) {
    permit.release();
    releaseInBackground(permit.key(), permit.attemptId());
  }

  /** Records the outcome after a delay, so that outcomes share a write. */
  void recordOutcomeLater(SendPermit permit, int status, long digest) {
    control.schedule(OUTCOME_DELAY, () -> recordOutcome(permit, status, digest));
  }

  /** Returns the failure of an attempt that did not get the claim. */
  static RuntimeException rejection(ClaimDecision decision, RequestKey key) {
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

  /** The outcome is NOT_RUN even if the claim may be stored, because nothing is sent under it. */
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

  private static GroupCommit.Applied<ClaimDecision> applyClaim(
      ClaimObject object, String hash, String attemptId) {
    if (object.closed()) {
      return unchanged(ClaimDecision.of(ClaimDecision.Kind.CLOSED));
    }
    Optional<Claim> found = object.find(hash);
    boolean ownClaim = found.isPresent() && found.get().attemptId().equals(attemptId);
    if (ownClaim && found.get().state() == Claim.State.CLAIMED) {
      return unchanged(ClaimDecision.of(ClaimDecision.Kind.HELD));
    }
    if (found.isEmpty() || !ownClaim && found.get().state() == Claim.State.RELEASED) {
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
    if (RequestKey.VALIDITY.toSeconds() * 2 + key.issuedSeconds()
        < control.now().getEpochSecond()) {
      // The key expired long ago and cannot be claimed any more, so it need not be released.
      return;
    }
    commits
        .apply(key.objectName(), object -> applyRelease(object, key.hash(), attemptId))
        .whenComplete(
            (done, failure) -> {
              if (failure == null) {
                record(EventType.CLAIM_RELEASED, key, attemptId);
              } else {
                control.schedule(BACKGROUND_RETRY_DELAY, () -> releaseInBackground(key, attemptId));
              }
            });
  }

  /**
   * Marks the claim as released. A claim that is not stored is marked as well: the new version of
   * the object makes a delayed write of the claim fail.
   */
  private static GroupCommit.Applied<Boolean> applyRelease(
      ClaimObject object, String hash, String attemptId) {
    Optional<Claim> found = object.find(hash);
    boolean ownClaim = found.isPresent() && found.get().attemptId().equals(attemptId);
    boolean releasable = ownClaim && found.get().state() == Claim.State.CLAIMED;
    if (object.closed() || !found.isEmpty() && !releasable) {
      return new GroupCommit.Applied<>(true, false);
    }
    object.put(hash, new Claim(attemptId, Claim.State.RELEASED, 0, 0));
    return new GroupCommit.Applied<>(true, true);
  }

  private void recordOutcome(SendPermit permit, int status, long digest) {
    RequestKey key = permit.key();
    commits
        .applyToLatest(
            key.objectName(),
            object -> applyOutcome(object, key.hash(), permit.attemptId(), status, digest))
        .exceptionally(
            failure -> {
              if (control.now().getEpochSecond() - key.issuedSeconds()
                  < RequestKey.VALIDITY.toSeconds()) {
                control.schedule(
                    BACKGROUND_RETRY_DELAY, () -> recordOutcome(permit, status, digest));
              }
              return false;
            });
  }

  private GroupCommit.Applied<Boolean> applyOutcome(
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
