package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what is known of the execution of a request after each order of attempts. */
class AttemptHistoryTest {
  private final AttemptHistory history = new AttemptHistory();

  @Nested
  class RequestsThatRunOnce {
    private static final int ORDERS = 100_000;
    private static final int MAX_STEPS = 8;

    /** Guards against a failed connection that hides an earlier run. */
    @Test
    void areNotBegunAgainAfterAFailedConnection() {
      history.recordFailed();
      history.recordSend(false);
      assertThat(history.runs()).isEqualTo(1);
      history.recordFailed();

      assertThat(history.runs()).isEqualTo(1);
      assertThat(history.permitsRun(false, 3)).isFalse();
    }

    /** Guards against a refused continuation that hides the run that it would have continued. */
    @Test
    void areNotBegunAgainAfterARefusedContinuation() {
      history.recordSend(false);
      history.recordSend(true);
      history.recordNotExecuted();

      assertThat(history.runs()).isEqualTo(1);
      assertThat(history.permitsRun(false, 3)).isFalse();
    }

    /** Guards against an order of attempts with a second run, or without a permitted first one. */
    @Test
    void runAtMostOnceInEachOrderOfAttempts() {
      SplittableRandom random = new SplittableRandom(33);
      for (int order = 0; order < ORDERS; order++) {
        AttemptHistory attempts = new AttemptHistory();
        int executed = 0;
        for (int step = 0; step < MAX_STEPS; step++) {
          assertThat(attempts.permitsRun(false, 2)).isEqualTo(executed == 0);
          switch (random.nextInt(4)) {
            case 0 -> attempts.recordFailed();
            case 1 -> {
              if (attempts.permitsRun(false, 2)) {
                attempts.recordSend(false);
                attempts.recordNotExecuted();
              }
            }
            case 2 -> {
              if (attempts.permitsRun(false, 2)) {
                attempts.recordSend(false);
                executed++;
              }
            }
            default -> {
              if (executed > 0) {
                attempts.recordSend(true);
                if (random.nextBoolean()) {
                  attempts.recordNotExecuted();
                }
              }
            }
          }
        }
        assertThat(executed).isAtMost(1);
      }
    }
  }

  @Nested
  class RequestsThatMayBeRepeated {
    /** Guards against more runs than the route permits after connections that failed. */
    @Test
    void runNoMoreOftenThanPermitted() {
      history.recordFailed();
      history.recordSend(false);
      assertThat(history.permitsRun(true, 2)).isTrue();
      history.recordSend(false);

      assertThat(history.permitsRun(true, 2)).isFalse();
    }

    /** Guards against a move that counts as a run, after which the stream is not resumed. */
    @Test
    void areRepeatedAfterAMove() {
      history.recordSend(false);
      history.recordSend(true);

      assertThat(history.permitsRun(true, 2)).isTrue();
    }
  }
}
