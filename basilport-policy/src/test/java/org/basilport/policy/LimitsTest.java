package org.basilport.policy;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.SplittableRandom;
import org.basilport.policy.limit.FullJitterBackoff;
import org.basilport.policy.limit.RetryBudget;
import org.basilport.policy.limit.TokenBucket;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LimitsTest {
  private static final long SECOND_NANOS = 1_000_000_000L;

  @Nested
  class RetryBudgets {
    /** Guards against retries that exceed their share at any time, not only on average. */
    @Test
    void neverExceedsShareOfFirstAttempts() {
      for (long seed = 1; seed <= 20; seed++) {
        SplittableRandom random = new SplittableRandom(seed);
        RetryBudget budget = new RetryBudget(0.1, 50);
        int firstAttempts = 0;
        int retries = 0;
        for (int i = 0; i < 50_000; i++) {
          if (random.nextInt(3) == 0) {
            budget.recordFirstAttempt();
            firstAttempts++;
          } else if (budget.tryAcquireRetry()) {
            retries++;
          }
          assertThat(retries * 10).isAtMost(firstAttempts);
        }
        assertThat(retries * 10).isAtLeast(firstAttempts - 10);
      }
    }

    /** Guards against a burst of retries after a period without failures. */
    @Test
    void boundsSavedRetries() {
      RetryBudget budget = new RetryBudget(0.1, 5);
      for (int i = 0; i < 10_000; i++) {
        budget.recordFirstAttempt();
      }
      int retries = 0;
      while (budget.tryAcquireRetry()) {
        retries++;
      }
      assertThat(retries).isEqualTo(5);
    }
  }

  @Nested
  class TokenBuckets {
    /** Guards against taking more than the rate times the elapsed time plus one burst. */
    @Test
    void neverGivesMoreThanRateAndBurst() {
      SplittableRandom random = new SplittableRandom(7);
      TokenBucket bucket = new TokenBucket(10, 20, 0);
      long now = 0;
      double taken = 0;
      for (int i = 0; i < 20_000; i++) {
        now += random.nextLong(SECOND_NANOS / 20);
        double tokens = random.nextInt(1, 4);
        if (bucket.tryTake(tokens, now)) {
          taken += tokens;
        }
        assertThat(taken).isAtMost(20 + 10.0 * now / SECOND_NANOS + 1e-6);
      }
    }

    /** Guards against a wait after which the caller is rejected again. */
    @Test
    void hasTokensAfterReturnedWait() {
      TokenBucket bucket = new TokenBucket(3, 5, 0);
      assertThat(bucket.tryTake(5, 0)).isTrue();
      long wait = bucket.waitMillis(2, 0);
      assertThat(bucket.tryTake(2, (wait - 1) * 1_000_000)).isFalse();
      assertThat(bucket.tryTake(2, wait * 1_000_000)).isTrue();
    }
  }

  @Nested
  class Backoff {
    /** Guards against delays above the bound and against delays that are not spread. */
    @Test
    void drawsBetweenZeroAndTheBound() {
      FullJitterBackoff backoff = new FullJitterBackoff(200, 10_000, new SplittableRandom(3));
      long sum = 0;
      for (int i = 0; i < 1_000; i++) {
        assertThat(backoff.delayMillis(1)).isAtMost(200);
        sum += backoff.delayMillis(40);
        assertThat(backoff.delayMillis(40)).isAtMost(10_000);
      }
      assertThat(sum / 1_000).isIn(Range.closed(4_500L, 5_500L));
    }
  }
}
