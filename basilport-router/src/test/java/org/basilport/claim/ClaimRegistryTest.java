package org.basilport.claim;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.event.EventSink;
import org.basilport.event.InvariantViolation;
import org.basilport.fake.FakeFleet;
import org.basilport.fake.FakeObjectStore;
import org.basilport.misc.VirtualScheduler;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClaimRegistryTest {
  private static final Instant START = Instant.parse("2026-01-05T08:00:00Z");

  private final VirtualScheduler scheduler = new VirtualScheduler(START);
  private final FakeObjectStore store = new FakeObjectStore(scheduler);
  private final RequestKey key =
      RequestKey.parse("w", START.getEpochSecond() + "-0123456789", START);

  private ClaimRegistry registry(int seed) {
    return new ClaimRegistry(store, scheduler, EventSink.none(), new SplittableRandom(seed));
  }

  private ClaimDecision.Kind claim(ClaimRegistry registry, String attemptId) {
    CompletableFuture<ClaimDecision> decision = registry.claim(key, attemptId);
    scheduler.runFor(Duration.ofSeconds(1));
    return decision.join().kind();
  }

  /** Guards against a claim that expires while its holder is paused, which would run twice. */
  @Test
  void pausedHolderKeepsItsClaim() {
    ClaimRegistry holder = registry(1);
    assertThat(claim(holder, "a")).isEqualTo(ClaimDecision.Kind.HELD);
    SendPermit permit = new SendPermit(key, "a", EventSink.none());
    scheduler.runFor(Duration.ofMinutes(50));

    assertThat(claim(registry(2), "b")).isEqualTo(ClaimDecision.Kind.IN_PROGRESS);
    permit.recordSend();
    holder.recordOutcomeLater(permit, 200, 1);
    scheduler.runFor(Duration.ofSeconds(5));
    assertThat(claim(registry(3), "c")).isEqualTo(ClaimDecision.Kind.FINISHED);
  }

  /** Guards against a key that stays blocked by a write that arrives after its release. */
  @Test
  void lateWriteOfFailedClaimHasNoEffect() {
    store.delayedWrites = 1;
    CompletableFuture<ClaimDecision> result = registry(1).claim(key, "a");
    scheduler.runFor(Duration.ofMillis(7));
    store.unavailable = true;
    scheduler.runFor(Duration.ofSeconds(5));
    assertThat(result.isCompletedExceptionally()).isTrue();
    store.unavailable = false;
    scheduler.runFor(Duration.ofSeconds(20));

    assertThat(claim(registry(2), "b")).isEqualTo(ClaimDecision.Kind.HELD);
  }

  /** Guards against a decision from a cached object that another instance has changed. */
  @Test
  void instanceThatSawTheClaimHeldCanClaimAfterRelease() {
    ClaimRegistry first = registry(1);
    ClaimRegistry second = registry(2);
    claim(first, "a");
    assertThat(claim(second, "b")).isEqualTo(ClaimDecision.Kind.IN_PROGRESS);
    first.release(new SendPermit(key, "a", EventSink.none()));
    scheduler.runFor(Duration.ofSeconds(1));

    assertThat(claim(second, "c")).isEqualTo(ClaimDecision.Kind.HELD);
  }

  /** Guards against a key that can be claimed again after its object was closed. */
  @Test
  void closedObjectRejectsClaimsAndIsRemovedLater() {
    claim(registry(1), "a");
    FakeFleet fleet = new FakeFleet(1, 0);
    ClaimSweeper sweeper = new ClaimSweeper(store, scheduler, fleet.controlPlanes.get(0));
    sweeper.start();
    scheduler.runFor(Duration.ofHours(25));
    assertThat(claim(registry(2), "b")).isEqualTo(ClaimDecision.Kind.CLOSED);

    scheduler.runFor(Duration.ofDays(30));
    assertThat(store.stored(key.objectName())).isEmpty();
  }

  @Nested
  class InvariantChecks {
    private final SendPermit permit = new SendPermit(key, "a", EventSink.none());

    /** Guards against an invariant check that misses a send after the release. */
    @Test
    void detectsSendAfterRelease() {
      permit.release();
      assertThrows(InvariantViolation.class, permit::recordSend);
    }

    /** Guards against an invariant check that misses the release of a sent request. */
    @Test
    void detectsReleaseAfterSend() {
      permit.recordSend();
      assertThrows(InvariantViolation.class, permit::release);
    }

    /** Guards against an invariant check that misses a store whose versions do not grow. */
    @Test
    void detectsVersionThatDoesNotGrow() {
      store.returnsReplacedVersion = true;
      registry(1).claim(key, "a");
      assertThrows(InvariantViolation.class, () -> scheduler.runFor(Duration.ofSeconds(1)));
    }
  }
}
