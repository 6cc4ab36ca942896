package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Estimate of the speed of a server from response times and the slowdown that it states. */
class ServerSpeedTest {
  private static final long START_NANOS = -TimeUnit.HOURS.toNanos(1);
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final ServerSpeed speed = new ServerSpeed();
  private long now = START_NANOS;

  private void observe(double longTerm, int slowdownPercent, double noise, int count) {
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < count; i++) {
      now += INTERVAL_NANOS;
      speed.observeSlowdown(slowdownPercent, now);
      double time = slowdownPercent / 100.0 / longTerm * (1 + noise * (random.nextDouble() - 0.5));
      speed.observeTime(speed.withoutSlowdown(time, now), now);
    }
  }

  /** Guards against a server that is taken to be slow for good because others slowed it down. */
  @Test
  void separatesTheTemporarySlowdownFromTheSpeed() {
    observe(1.7, 250, 0.5, 100);

    assertThat(speed.longTerm(now)).isWithin(0.25).of(1.7);
    assertThat(speed.slowdown(now)).isWithin(0.01).of(2.5);
    assertThat(speed.slowness(now)).isWithin(0.3).of(2.5 / 1.7);
    assertThat(speed.slowdown(now + TimeUnit.MILLISECONDS.toNanos(600))).isWithin(0.01).of(1.0);
  }

  /** Guards against a decision by response times that are no longer true. */
  @Test
  void assumesTheUsualSpeedWithoutRecentResponses() {
    observe(0.7, 100, 0, 100);
    assertThat(speed.longTerm(now)).isWithin(0.1).of(0.7);

    double previous = speed.longTerm(now);
    for (int seconds = 1; seconds <= 5; seconds++) {
      double aged = speed.longTerm(now + TimeUnit.SECONDS.toNanos(seconds));
      assertThat(aged).isGreaterThan(previous);
      previous = aged;
    }
    assertThat(previous).isEqualTo(1.0);
  }

  /** Guards against odd response times that make a speed unusable or change it at once. */
  @Test
  void ignoresOddTimes() {
    for (double odd : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
      speed.observeTime(odd, now);
    }
    assertThat(speed.longTerm(now)).isEqualTo(1.0);
    speed.observeTime(1_000, now);
    assertThat(speed.longTerm(now)).isAtLeast(0.7);
  }

  /** Guards against a comparison of requests that take different times at any server. */
  @Test
  void comparesTimesOfTheSameKind() {
    UsualResponseTime usual = new UsualResponseTime();
    usual.relative("long", 2_000);
    usual.relative("short", 10);

    assertThat(usual.relative("long", 2_000)).isWithin(1e-9).of(1);
    assertThat(usual.relative("short", 20)).isWithin(1e-9).of(2);
    assertThat(usual.relative("none", 0)).isEqualTo(1.0);
  }
}
