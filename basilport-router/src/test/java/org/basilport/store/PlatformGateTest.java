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

class PlatformGateTest {
  private final VirtualScheduler scheduler = new VirtualScheduler(Instant.EPOCH);
  private final FakeObjectStore platform = new FakeObjectStore(scheduler);
  private int live = 3;
  private final PlatformGate gate =
      new PlatformGate(scheduler, EventSink.none(), new SplittableRandom(5), () -> live, 30, 300);
  private final BudgetedObjectStore store = new BudgetedObjectStore(platform, gate);

  private List<CompletableFuture<Long>> write(int count) {
    List<CompletableFuture<Long>> writes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      writes.add(store.write("object-" + i, new byte[1], 0));
    }
    return writes;
  }

  private static long done(List<CompletableFuture<Long>> calls) {
    return calls.stream().filter(CompletableFuture::isDone).count();
  }

  @Nested
  class Budget {
    // Guards against an instance that takes more than its share of the fleet's rate.
    @Test
    void delaysCallsAboveTheShare() {
      List<CompletableFuture<Long>> writes = write(40);
      scheduler.runFor(Duration.ofMillis(1_005));
      assertThat(done(writes)).isEqualTo(5 + 10);
      assertThat(gate.calls(CallKind.WRITE)).isEqualTo(15);
      scheduler.runFor(Duration.ofSeconds(3));
      assertThat(done(writes)).isEqualTo(40);
    }

    @Test
    void shareFollowsTheLiveInstancesDownToOneCall() {
      live = 1_000;
      List<CompletableFuture<Long>> writes = write(10);
      scheduler.runFor(Duration.ofMillis(4_500));
      assertThat(done(writes)).isEqualTo(5);
    }

    @Test
    void refusesCallsWhenTooManyWait() {
      List<CompletableFuture<Long>> writes = write(600);
      assertThat(done(writes)).isAtLeast(80);
      assertThat(failure(writes.get(599)).outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    // Breaks the bucket and checks that the assertion notices.
    @Test
    void assertionFailsWhenTheBucketIsPassedBy() {
      CallBudget budget = new CallBudget("writes", 10, 0, EventSink.none());
      assertThrows(
          InvariantViolation.class,
          () -> {
            for (int i = 0; i < 17; i++) {
              budget.sent(i);
            }
          });
    }
  }

  @Nested
  class Breaker {
    // Guards against instances that burden a platform that is down, or never return to it.
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
      assertThat(gate.open()).isTrue();
      BasilportException refused = failure(store.write("a", new byte[1], 0));
      assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
      platform.outage(false);
      scheduler.runFor(Duration.ofSeconds(10));
      store.read("config/head");
      scheduler.runFor(Duration.ofMillis(5));
      assertThat(gate.open()).isFalse();
    }

    @Test
    void oneCallAtATimeIsAProbe() {
      CircuitBreaker breaker = new CircuitBreaker(new SplittableRandom(1));
      for (int i = 0; i < 3; i++) {
        assertThat(breaker.permit(0, true)).isTrue();
        breaker.failed(0, false);
      }
      long later = Duration.ofSeconds(10).toNanos();
      assertThat(breaker.permit(0, true)).isFalse();
      assertThat(breaker.permit(later, false)).isFalse();
      assertThat(breaker.permit(later, true)).isTrue();
      assertThat(breaker.permit(later, true)).isFalse();
    }
  }

  private static BasilportException failure(CompletableFuture<?> call) {
    return call.handle(
            (value, failure) ->
                BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.STORE))
        .join();
  }
}
