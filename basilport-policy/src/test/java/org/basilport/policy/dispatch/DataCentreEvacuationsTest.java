package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.DataCentreEvacuations.Change;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what one instance knows of evacuated data centres. */
class DataCentreEvacuationsTest {
  private final DataCentreEvacuations evacuations = new DataCentreEvacuations();

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static StorePosition at(long incarnation, long revision) {
    return new StorePosition(incarnation, revision);
  }

  /** Applies a read that began at a time and is applied 10 ms later. */
  private Change apply(long startMillis, StorePosition position, String... names) {
    StoreRead read = new StoreRead(position.incarnation(), nanos(startMillis), startMillis);
    return evacuations.apply(Set.of(names), position, read, nanos(startMillis + 10));
  }

  private long proofAge(long millis) {
    return evacuations.proofAgeMillis(nanos(millis), millis);
  }

  @Nested
  class Starts {
    /** Guards against sending to an evacuated data centre before the first read. */
    @Test
    void sendNothingBeforeTheFirstRead() {
      assertThat(evacuations.known()).isFalse();
      assertThat(evacuations.evacuated("a")).isTrue();
      assertThat(proofAge(0)).isEqualTo(Long.MAX_VALUE);

      assertThat(apply(0, at(1, 5), "a")).isEqualTo(new Change(Set.of("a"), Set.of()));
      assertThat(evacuations.known()).isTrue();
      assertThat(evacuations.evacuated("b")).isFalse();
    }

    /** Guards against an instance that waits forever because nothing is evacuated. */
    @Test
    void areOverAfterAnEmptyList() {
      assertThat(apply(0, StorePosition.NONE).isEmpty()).isTrue();
      assertThat(evacuations.known()).isTrue();
      assertThat(evacuations.evacuated("a")).isFalse();
    }
  }

  @Nested
  class Returns {
    /** Guards against evacuations that end while the same store still proves nothing. */
    @Test
    void endWhenTheStoreIsComplete() {
      StoreCompleteness store = new StoreCompleteness(true);
      apply(0, at(1, 5), "a");
      store.proves(new StoreRead(1, nanos(0), 0), nanos(10));
      for (long millis = 10_000; millis < 14_000; millis += 50) {
        apply(millis, at(2, 5));
        StoreRead read = new StoreRead(2, nanos(millis), millis);
        boolean complete = store.proves(read, nanos(millis + 10));
        assertThat(evacuations.evacuated("a")).isEqualTo(!complete);
      }
      assertThat(evacuations.evacuated("a")).isFalse();
    }
  }

  @Nested
  class LateNews {
    /** Guards against a late reply that ends an evacuation or takes up one that has ended. */
    @Test
    void changeNothing() {
      apply(0, at(1, 5), "a");
      apply(900, at(1, 9), "b");

      assertThat(apply(500, at(1, 7), "a", "c").isEmpty()).isTrue();
      assertThat(apply(1_000, at(1, 8)).isEmpty()).isTrue();
      assertThat(evacuations.evacuated()).containsExactly("b");
      assertThat(proofAge(1_100)).isEqualTo(200);
    }

    /** Guards against intermediate states that a watch tells at the former position. */
    @Test
    void atTheSamePositionOnlyProveIt() {
      apply(0, at(1, 5), "a");

      assertThat(apply(800, at(1, 5)).isEmpty()).isTrue();
      assertThat(evacuations.evacuated()).containsExactly("a");
      assertThat(proofAge(1_000)).isEqualTo(200);
    }

    /**
     * Load: 3 data centres that are evacuated and restored 40 times, and 100 instances that hear of
     * it in any order and more than once.
     */
    @Test
    void leaveAllInstancesInTheSameState() {
      for (int seed = 0; seed < 100; seed++) {
        Random random = new Random(seed);
        List<Set<String>> history = new ArrayList<>(List.of(Set.of()));
        List<Integer> news = new ArrayList<>();
        for (int revision = 1; revision <= 40; revision++) {
          Set<String> next = new TreeSet<>(history.get(revision - 1));
          String changed = List.of("a", "b", "c").get(random.nextInt(3));
          if (!next.remove(changed)) {
            next.add(changed);
          }
          history.add(next);
          news.addAll(Collections.nCopies(1 + random.nextInt(3), revision));
        }
        Collections.shuffle(news, random);
        DataCentreEvacuations state = new DataCentreEvacuations();
        int newest = 0;
        for (int revision : news) {
          StoreRead read = new StoreRead(1, nanos(revision), revision);
          state.apply(history.get(revision), at(1, revision), read, nanos(1_000));
          newest = Math.max(newest, revision);
          assertThat(state.evacuated()).isEqualTo(history.get(newest));
        }
      }
    }
  }

  @Nested
  class ReturnedStores {
    /** Guards against taking a lower revision of a store that returned for old news. */
    @Test
    void haveNewerPositionsInSpiteOfLowerRevisions() {
      apply(0, at(1, 50));

      assertThat(apply(500, at(2, 3), "a").evacuated()).containsExactly("a");
      assertThat(apply(600, at(1, 60)).isEmpty()).isTrue();
      assertThat(evacuations.evacuated("a")).isTrue();
    }

    /** Guards against sending to a data centre whose evacuation the older copy lacks. */
    @Test
    void keepLostEvacuationsUntilTheyCanBeWrittenAgain() {
      apply(0, at(1, 50), "a", "b");
      assertThat(apply(1_000, at(2, 3), "b").isEmpty()).isTrue();
      assertThat(apply(2_900, at(2, 4), "b").isEmpty()).isTrue();
      assertThat(evacuations.evacuated()).containsExactly("a", "b");
      assertThat(evacuations.stored()).containsExactly("b");

      assertThat(apply(3_010, at(2, 4), "b")).isEqualTo(new Change(Set.of(), Set.of("a")));
    }

    /** Guards against a gap while the writer of a lost evacuation writes it again. */
    @Test
    void keepEvacuationsThatAreWrittenAgain() {
      apply(0, at(1, 50), "a");
      apply(1_000, at(2, 3));
      assertThat(apply(2_500, at(2, 4), "a").isEmpty()).isTrue();
      assertThat(apply(4_000, at(2, 4), "a").isEmpty()).isTrue();
      assertThat(apply(4_100, at(2, 5)).restored()).containsExactly("a");
    }
  }

  @Nested
  class LostWatchers {
    private final DirectReadBackoff backoff = new DirectReadBackoff();

    /** Load: watchers and store that do not answer for 10 s; calls have a cost. */
    @Test
    void causeDirectReadsAtGrowingIntervals() {
      apply(0, at(1, 5), "a");
      List<Long> reads = new ArrayList<>();
      for (long now = 0; now <= 10_000; now += 100) {
        if (backoff.tryBeginRead(proofAge(now), nanos(now))) {
          reads.add(now);
        }
      }
      assertThat(reads).containsExactly(2_800L, 3_300L, 4_300L, 5_800L, 7_300L, 8_800L).inOrder();
      assertThat(evacuations.evacuated("a")).isTrue();
    }

    /**
     * Guards against learning of an evacuation too late: it is confirmed right after the watchers
     * gave their last proof, and only the store answers.
     */
    @Test
    void doNotHideAnEvacuationForLong() {
      apply(0, at(1, 5));
      long learned = -1;
      for (long now = 0; learned < 0 && now <= 10_000; now += 400) {
        if (backoff.tryBeginRead(proofAge(now), nanos(now))) {
          apply(now, at(1, 6), "a");
          learned = evacuations.evacuated("a") ? now : -1;
        }
      }
      assertThat(learned).isAtLeast(0L);
      assertThat(learned).isLessThan(4_000L);
    }

    /** Guards against the longest delay for an instance that lost its proofs again. */
    @Test
    void startWithAShortDelayAfterAProof() {
      for (long now = 0; now <= 5_000; now += 100) {
        backoff.tryBeginRead(proofAge(now), nanos(now));
      }
      apply(5_000, at(1, 5));
      assertThat(backoff.tryBeginRead(proofAge(5_100), nanos(5_100))).isFalse();
      assertThat(backoff.tryBeginRead(proofAge(7_800), nanos(7_800))).isTrue();
      assertThat(backoff.tryBeginRead(proofAge(8_200), nanos(8_200))).isFalse();
      assertThat(backoff.tryBeginRead(proofAge(8_300), nanos(8_300))).isTrue();
    }
  }

  @Nested
  class Servers {
    private final ServerAdmission admission = new ServerAdmission();

    /** Guards against taking an evacuation for a departure, which never ends. */
    @Test
    void acceptRequestsAgainAfterTheEvacuation() {
      admission.setEvacuated(true);
      assertThat(admission.state(0)).isEqualTo(ServerAdmission.State.EVACUATED);
      assertThat(admission.refusesAll(0)).isTrue();
      assertThat(admission.nanosToAccept(0).isPresent()).isFalse();
      assertThat(admission.leaving()).isFalse();

      admission.setEvacuated(false);
      assertThat(admission.state(0)).isEqualTo(ServerAdmission.State.OPEN);
    }

    /** Guards against a send that relies on a copy of the generation at an evacuated server. */
    @Test
    void getNothingAtTheTimeOfTheSend() {
      SendCheck.Conditions evacuated =
          new SendCheck.Conditions(
              true, 500, true, true, 0, 4_600, false, true, false, false, true, true);
      assertThat(SendCheck.check(evacuated)).isEqualTo(SendCheck.Result.SERVER_EVACUATED);
    }
  }
}
