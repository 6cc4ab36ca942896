package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Waits of many watches at one store. */
class LongPollTimingTest {
  private static final Duration FULL_WAIT = Duration.ofMillis(1_200);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(700);
  private static final int WATCHERS = 200;
  private static final int CALLS = 20;

  /**
   * A quarter of the 240 ms over which a wait is reduced. An even distribution puts a quarter of
   * the calls into it; the store has to bear twice as many at most.
   */
  private static final int BURST_MILLIS = 60;

  private static LongPollTiming timing() {
    return new LongPollTiming(FULL_WAIT, RESPONSE_TIMEOUT);
  }

  /** Times of the calls of each watcher after a change that ends all their polls at time 0. */
  private static long[][] callMillis(long seed) {
    SplittableRandom seeds = new SplittableRandom(seed);
    long[][] calls = new long[WATCHERS][CALLS];
    for (long[] own : calls) {
      SplittableRandom random = seeds.split();
      LongPollTiming timing = timing();
      for (int call = 1; call < CALLS; call++) {
        own[call] = own[call - 1] + timing.nextWait(FULL_WAIT, random).toMillis();
      }
    }
    return calls;
  }

  private static int mostWithin(long[] sortedMillis, long intervalMillis) {
    int most = 0;
    int first = 0;
    for (int last = 0; last < sortedMillis.length; last++) {
      while (sortedMillis[last] - sortedMillis[first] >= intervalMillis) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /**
   * Load: 200 watchers whose polls a change ends at the same moment. Guards against calls that come
   * together at the end of each later poll.
   */
  @Test
  void spreadsTheCallsThatFollowACommonEnd() {
    for (long seed = 0; seed < 20; seed++) {
      List<Long> later = new ArrayList<>();
      for (long[] own : callMillis(seed)) {
        Arrays.stream(own).skip(1).forEach(later::add);
      }
      long[] sorted = later.stream().mapToLong(Long::longValue).sorted().toArray();
      assertWithMessage("calls within %s ms, seed %s", BURST_MILLIS, seed)
          .that(mostWithin(sorted, BURST_MILLIS))
          .isAtMost(WATCHERS / 2);
    }
  }

  /** Guards against two watchers of a cell whose proofs are old at the same moment for ever. */
  @Test
  void separatesTheCallsOfTwoWatchers() {
    int together = 0;
    long[][] calls = callMillis(1);
    for (int pair = 0; pair < WATCHERS; pair += 2) {
      together += Math.abs(calls[pair][CALLS - 1] - calls[pair + 1][CALLS - 1]) < 20 ? 1 : 0;
    }
    assertThat(together).isAtMost(WATCHERS / 2 / 4);
  }

  /** Guards against a store that is asked more often than a slow store needs. */
  @Test
  void keepsMostOfTheWaitWithinTheLimit() {
    SplittableRandom random = new SplittableRandom(1);
    Duration limit = Duration.ofMillis(1_100);
    for (int i = 0; i < 1_000; i++) {
      assertThat(timing().nextWait(FULL_WAIT, random)).isAtMost(FULL_WAIT);
      assertThat(timing().nextWait(FULL_WAIT, random)).isAtLeast(Duration.ofMillis(960));
      assertThat(timing().nextWait(limit, random)).isAtMost(limit);
    }
    assertThat(timing().nextWait(Duration.ZERO, random)).isEqualTo(Duration.ZERO);
  }
}
