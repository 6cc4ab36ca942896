package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Limits that a server names, kept by all instances of a fleet together. */
class SharedRateLimitTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long STEP = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long WINDOW = 4 * SECOND;
  private static final long DURATION = 120 * SECOND;

  /** Requests that a server tolerates within a window. */
  private static int tolerated(double perSecond) {
    return (int) (1.5 * perSecond * WINDOW / SECOND) + 5;
  }

  private static List<SharedRateLimit> fleet(int instances, double perSecond, long skewNanos) {
    SplittableRandom random = new SplittableRandom(1);
    List<SharedRateLimit> limits = new ArrayList<>();
    for (int rank = 0; rank < instances; rank++) {
      long start = skewNanos == 0 ? 0 : random.nextLong(skewNanos);
      limits.add(new SharedRateLimit(perSecond, instances, rank, start));
    }
    return limits;
  }

  /** Result of a run: the most requests within a window and the number of all. */
  private record Sent(int mostInWindow, int total) {}

  /** Lets each instance send whenever it may and has demand in this step. */
  private static Sent send(List<SharedRateLimit> limits, IntPredicate demandInStep) {
    ArrayDeque<Long> window = new ArrayDeque<>();
    int most = 0;
    int total = 0;
    for (int step = 0; step < DURATION / STEP; step++) {
      long now = step * STEP;
      while (!window.isEmpty() && now - window.peekFirst() >= WINDOW) {
        window.removeFirst();
      }
      if (demandInStep.test(step)) {
        for (SharedRateLimit limit : limits) {
          while (limit.tryAcquire(now)) {
            window.addLast(now);
            total++;
          }
        }
      }
      most = Math.max(most, window.size());
    }
    return new Sent(most, total);
  }

  /** Load: a limit of a few requests a second beside demand of all instances at all times. */
  @ParameterizedTest
  @CsvSource({"1,2.5", "6,2.6", "6,40", "9,0.5", "95,0.5", "95,2.5", "95,3.5", "95,60"})
  void keepsAndUsesTheLimit(int instances, double perSecond) {
    Sent sent = send(fleet(instances, perSecond, 50 * STEP), step -> true);

    assertThat(sent.mostInWindow).isAtMost(tolerated(perSecond));
    assertThat(sent.total).isAtLeast((int) (0.9 * perSecond * DURATION / SECOND));
  }

  /** Guards against permits that all instances save while idle and use at the same moment. */
  @ParameterizedTest
  @CsvSource({"6,2.6", "95,0.5", "95,2.5", "95,60"})
  void keepsTheLimitWhenAllInstancesBecomeBusyAtOnce(int instances, double perSecond) {
    Sent sent = send(fleet(instances, perSecond, 50 * STEP), step -> step / 800 % 2 == 1);

    assertThat(sent.mostInWindow).isAtMost(tolerated(perSecond));
  }

  /** Guards against permits from a server that names another limit in each response. */
  @ParameterizedTest
  @CsvSource({"6,2.6", "95,3.5"})
  void keepsALimitThatChangesAllTheTime(int instances, double perSecond) {
    SplittableRandom random = new SplittableRandom(2);
    List<SharedRateLimit> limits = fleet(instances, perSecond, 0);
    Sent sent =
        send(
            limits,
            step -> {
              if (step % 10 == 0) {
                double named = perSecond * (0.9 + 0.2 * random.nextDouble());
                for (int i = 0; i < instances; i++) {
                  limits.get(i).update(named, instances, i, step * STEP);
                }
              }
              return true;
            });

    assertThat(sent.mostInWindow).isAtMost(tolerated(perSecond));
    assertThat(sent.total).isAtLeast((int) (0.5 * perSecond * DURATION / SECOND));
  }

  /** Guards against a limit that is exceeded while instances join and leave. */
  @Test
  void keepsTheLimitWhileTheFleetChanges() {
    double perSecond = 2.5;
    List<SharedRateLimit> limits = fleet(95, perSecond, 0);
    Sent sent =
        send(
            limits,
            step -> {
              if (step % 500 == 499) {
                if (step % 1_000 == 499) {
                  limits.remove(limits.size() - 1);
                } else {
                  limits.add(new SharedRateLimit(perSecond, limits.size() + 1, limits.size(), 0));
                }
                for (int i = 0; i < limits.size(); i++) {
                  limits.get(i).update(perSecond, limits.size(), i, step * STEP);
                }
              }
              return true;
            });

    assertThat(sent.mostInWindow).isAtMost(tolerated(perSecond));
  }

  /** Guards against permits that a paused process collects. */
  @Test
  void forgetsThePermitsOfAPause() {
    SharedRateLimit limit = new SharedRateLimit(10, 1, 0, 0);
    int sent = 0;
    while (limit.tryAcquire(60 * SECOND)) {
      sent++;
    }

    assertThat(sent).isAtMost(21);
    assertThat(limit.nanosToPermit(60 * SECOND)).isAtMost(SECOND / 10);
  }

  @Nested
  class Observations {
    private NamedLimit named(double perSecond, long observed, long since) {
      return new NamedLimit(OptionalDouble.of(perSecond), observed, since);
    }

    private NamedLimit ended(long observed) {
      return new NamedLimit(OptionalDouble.empty(), observed, observed);
    }

    /** Guards against late news that replace a later observation. */
    @Test
    void keepsTheLatestObservation() {
      assertThat(named(2, 10, 5).merge(named(3, 9, 8))).isEqualTo(named(2, 10, 5));
      assertThat(ended(10).merge(named(3, 9, 8))).isEqualTo(ended(10));
      assertThat(named(3, 9, 8).merge(ended(10))).isEqualTo(ended(10));
      assertThat(ended(10).merge(named(3, 11, 11))).isEqualTo(named(3, 11, 11));
    }

    /** Guards against turns of instances that rely on different beginnings of a limit. */
    @Test
    void keepsTheEarliestBeginning() {
      assertThat(named(2, 10, 5).merge(named(3, 12, 12))).isEqualTo(named(3, 12, 5));
      assertThat(named(3, 12, 12).merge(named(2, 10, 5))).isEqualTo(named(3, 12, 5));
    }

    /** Guards against an end that is reported once only, or for ever. */
    @Test
    void repeatsTheEndForAWhile() {
      NamedLimit end = new NamedLimit(OptionalDouble.empty(), 2 * SECOND, SECOND);
      assertThat(named(2, 0, 0).changedByNoLimit(SECOND)).isTrue();
      assertThat(end.changedByNoLimit(3 * SECOND)).isFalse();
      assertThat(end.changedByNoLimit(4 * SECOND)).isTrue();
      assertThat(end.reportable(10 * SECOND)).isTrue();
      assertThat(end.reportable(11 * SECOND)).isFalse();
      assertThat(end.changedByNoLimit(11 * SECOND)).isFalse();
    }

    /** Guards against instances that send out of turn. */
    @Test
    void waitsForTheOwnTurn() {
      SharedRateLimit last = new SharedRateLimit(2, 4, 3, 0);
      assertWithMessage("before its turn").that(last.available(2 * SECOND - 1)).isFalse();
      assertWithMessage("at its turn").that(last.tryAcquire(2 * SECOND)).isTrue();
      assertWithMessage("after its turn").that(last.available(2 * SECOND)).isFalse();
      assertThat(last.nanosToPermit(2 * SECOND)).isEqualTo(2 * SECOND);
    }
  }
}
