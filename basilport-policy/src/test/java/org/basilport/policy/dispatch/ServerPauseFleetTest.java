package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays a fleet whose instances always have a request for one server that pauses at random. */
class ServerPauseFleetTest {
  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long STEP_NANOS = 5 * MILLISECOND;
  private static final long END_NANOS = TimeUnit.SECONDS.toNanos(12);
  private static final int INSTANCES = 40;

  /** Time after a refusal in which requests may be on their way to the server. */
  private static final long ON_THEIR_WAY_NANOS = 500 * MILLISECOND;

  /** Requests within a pause that a server tolerates from each instance. */
  private static final int MAX_REQUESTS_IN_A_PAUSE = 2;

  /** Requests that an instance has at the server at a time. */
  private static final int MAX_OPEN = 4;

  private SplittableRandom random;
  private long pauseEndNanos;

  /** Guards against requests within a pause, for any order of pauses, answers and lost requests. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void keepsEachPause(long seed) {
    random = new SplittableRandom(seed);
    pauseEndNanos = 0;
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(new Instance());
    }
    for (long now = 0; now < END_NANOS; now += STEP_NANOS) {
      if (now - pauseEndNanos > 0 && random.nextInt(200) == 0) {
        pauseEndNanos = now + random.nextLong(3_000) * MILLISECOND;
      }
      for (Instance instance : instances) {
        instance.step(now);
      }
    }

    for (Instance instance : instances) {
      assertThat(instance.mostInAPause()).isAtMost(MAX_REQUESTS_IN_A_PAUSE);
      assertThat(instance.served).isGreaterThan(0);
    }
  }

  /** Refusal by the server: when, and until when it wants no requests. */
  private record Refusal(long atNanos, long endNanos) {}

  /** Answer on its way to the instance; a pause of 0 is none. */
  private record Answer(long arrivesNanos, long pauseNanos) {}

  private final class Instance {
    private final ServerAdmission admission = new ServerAdmission();
    private final List<Answer> answers = new ArrayList<>();
    private final ArrayDeque<Long> onTheirWay = new ArrayDeque<>();
    private final List<Long> arrivals = new ArrayList<>();
    private final List<Refusal> refusals = new ArrayList<>();
    private int served;

    void step(long now) {
      receiveAnswers(now);
      while (!onTheirWay.isEmpty() && onTheirWay.peekFirst() - now <= 0) {
        arrive(onTheirWay.removeFirst());
      }
      if (onTheirWay.size() + answers.size() < MAX_OPEN
          && admission.state(now) == ServerAdmission.State.OPEN) {
        admission.recordPlaced(now);
        onTheirWay.addLast(now + random.nextLong(20) * MILLISECOND);
      }
    }

    private void receiveAnswers(long now) {
      for (Answer answer : List.copyOf(answers)) {
        if (answer.arrivesNanos() - now <= 0) {
          answers.remove(answer);
          if (answer.pauseNanos() > 0) {
            admission.pause().pauseUntil(now + answer.pauseNanos(), now);
          } else {
            admission.pause().recordAnswer(now);
          }
        }
      }
    }

    private void arrive(long at) {
      arrivals.add(at);
      long left = Math.max(0, pauseEndNanos - at);
      boolean lost = random.nextInt(20) == 0;
      if (left > 0) {
        refusals.add(new Refusal(at, pauseEndNanos));
        answers.add(new Answer(at + random.nextLong(100) * MILLISECOND, left));
      } else if (!lost) {
        served++;
        answers.add(new Answer(at + random.nextLong(200) * MILLISECOND, 0));
      }
    }

    int mostInAPause() {
      int most = 0;
      for (Refusal refusal : refusals) {
        long from = refusal.atNanos() + ON_THEIR_WAY_NANOS;
        int count =
            (int)
                arrivals.stream()
                    .filter(at -> at - from > 0 && refusal.endNanos() - at > 0)
                    .count();
        most = Math.max(most, count);
      }
      return most;
    }
  }
}
