package org.basilport.store;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.event.EventSink;
import org.basilport.event.InvariantViolation;
import org.basilport.misc.VirtualScheduler;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlatformCallLimiterTest {
  private final VirtualScheduler scheduler = new VirtualScheduler(Instant.EPOCH);
  private final InMemoryObjectStore platform = new InMemoryObjectStore(scheduler);
  private int liveInstances = 3;
  private final PlatformCallLimiter callLimiter =
      new PlatformCallLimiter(
          scheduler, EventSink.none(), new SplittableRandom(5), () -> liveInstances, 30, 300);
  private final RateLimitedObjectStore store = new RateLimitedObjectStore(platform, callLimiter);

  private List<CompletableFuture<Long>> write(int count) {
    List<CompletableFuture<Long>> writes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      writes.add(store.write("object-" + i, new byte[1], 0));
    }
    return writes;
  }

  private static long completedCount(List<CompletableFuture<Long>> calls) {
    return calls.stream().filter(CompletableFuture::isDone).count();
  }

  @Nested
  class Budget {
    // Guards against an instance that exceeds its share of the fleet's call rate.
    @Test
    void delaysCallsAboveInstanceRate() {
      List<CompletableFuture<Long>> writes = write(40);
      scheduler.runFor(Duration.ofMillis(1_005));
      assertThat(completedCount(writes)).isEqualTo(5 + 10);
      assertThat(callLimiter.calls(CallKind.WRITE)).isEqualTo(15);
      scheduler.runFor(Duration.ofSeconds(3));
      assertThat(completedCount(writes)).isEqualTo(40);
    }

    @Test
    void instanceRateFollowsLiveInstances() {
      liveInstances = 1_000;
      List<CompletableFuture<Long>> writes = write(10);
      scheduler.runFor(Duration.ofMillis(4_500));
      assertThat(completedCount(writes)).isEqualTo(5);
    }

    @Test
    void rejectsCallsWhenQueueIsFull() {
      List<CompletableFuture<Long>> writes = write(600);
      assertThat(completedCount(writes)).isAtLeast(80);
      assertThat(failure(writes.get(599)).outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    // Verifies the invariant check by sending calls without taking tokens.
    @Test
    void assertionFailsIfBucketIsBypassed() {
      CallRateLimiter rateLimiter = new CallRateLimiter("writes", 10, 0, EventSink.none());
      assertThrows(
          InvariantViolation.class,
          () -> {
            for (int i = 0; i < 17; i++) {
              rateLimiter.recordSent(i);
            }
          });
    }
  }

  @Nested
  class Breaker {
    // Guards against instances that overload an unavailable platform or never use it again.
    @Test
    void sendsSingleProbesAndRecovers() {
      platform.outage(true);
      long before = platform.calls();
      for (int i = 0; i < 600; i++) {
        store.read("config/head");
        scheduler.runFor(Duration.ofMillis(100));
      }
      long probes = platform.calls() - before;
      assertThat(probes).isAtLeast(8);
      assertThat(probes).isAtMost(60);
      assertThat(callLimiter.isOpen()).isTrue();
      BasilportException rejected = failure(store.write("a", new byte[1], 0));
      assertThat(rejected.outcome()).isEqualTo(Outcome.NOT_RUN);
      platform.outage(false);
      scheduler.runFor(Duration.ofSeconds(10));
      store.read("config/head");
      scheduler.runFor(Duration.ofMillis(5));
      assertThat(callLimiter.isOpen()).isFalse();
    }

    @Test
    void permitsOneProbeAtATime() {
      CircuitBreaker breaker = new CircuitBreaker(new SplittableRandom(1));
      for (int i = 0; i < 3; i++) {
        assertThat(breaker.tryAcquire(0, true)).isTrue();
        breaker.recordFailure(0, false);
      }
      long later = Duration.ofSeconds(10).toNanos();
      assertThat(breaker.tryAcquire(0, true)).isFalse();
      assertThat(breaker.tryAcquire(later, false)).isFalse();
      assertThat(breaker.tryAcquire(later, true)).isTrue();
      assertThat(breaker.tryAcquire(later, true)).isFalse();
    }
  }

  private static BasilportException failure(CompletableFuture<?> call) {
    return call.handle(
            (value, failure) ->
                BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.STORE))
        .join();
  }
}
