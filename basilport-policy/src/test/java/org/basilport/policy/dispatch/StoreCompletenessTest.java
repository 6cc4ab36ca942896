package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Proofs of a store that returns from older copies, for one instance and for a large fleet. */
class StoreCompletenessTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private static StoreRead read(long incarnation, long startNanos) {
    return new StoreRead(incarnation, startNanos, 0);
  }

  @Nested
  class OneInstance {
    /** Guards against reads that cost more than before while nothing was lost. */
    @Test
    void takesEachReadForAProofInTheIncarnationOfTheFirstStart() {
      StoreCompleteness store = new StoreCompleteness(true);
      assertThat(store.proves(read(7, 0), 1)).isTrue();
      assertThat(store.nanosUntilProof(1)).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against refusing keys where the store tells no incarnation. */
    @Test
    void takesEachReadForAProofIfTheStoreTellsNoIncarnation() {
      assertThat(new StoreCompleteness(false).proves(read(0, 0), 1)).isTrue();
    }

    /** Guards against taking the older copy for a proof, once and several times. */
    @Test
    void takesNoReadForAProofThatStartedSoonAfterAReturn() {
      StoreCompleteness store = new StoreCompleteness(true);
      store.proves(read(1, 0), 0);
      assertThat(store.proves(read(2, 10 * SECOND), 10 * SECOND)).isFalse();
      assertThat(store.proves(read(2, 11 * SECOND), 13 * SECOND)).isFalse();
      assertThat(store.proves(read(3, 13 * SECOND), 13 * SECOND)).isFalse();
      assertThat(store.nanosUntilProof(14 * SECOND)).isEqualTo(SECOND);
      assertThat(store.proves(read(3, 14 * SECOND), 16 * SECOND)).isFalse();
      assertThat(store.proves(read(3, 15 * SECOND), 16 * SECOND)).isTrue();
      assertThat(store.completeIncarnation()).isEqualTo(3);
    }

    /** Guards against trusting the word of an instance about an earlier incarnation. */
    @Test
    void trustsOthersAboutTheIncarnationThatTheyFoundComplete() {
      StoreCompleteness store = new StoreCompleteness(false);
      assertThat(store.proves(read(3, 0), 0)).isFalse();
      store.confirm(2);
      assertThat(store.proves(read(3, 1), 1)).isFalse();
      store.confirm(3);
      assertThat(store.proves(read(3, 2), 2)).isTrue();
    }

    /** Guards against a restart of all instances that costs more than before. */
    @Test
    void takesTheFirstReadForAProofIfItsFormerLifeFoundTheStoreComplete() {
      StoreCompleteness store = new StoreCompleteness(false);
      store.proves(read(3, 5), 6);
      assertThat(store.confirmBeforeStart(3)).hasValue(read(3, 5));
      assertThat(store.proves(read(3, 7), 8)).isTrue();
      assertThat(store.confirmBeforeStart(3)).isEmpty();
    }
  }

  @Nested
  class Fleet {
    private static final int INSTANCES = 350;

    /**
     * Guards against a key that any instance accepts too long: instances notice the return late,
     * some are cut off or start meanwhile, and the revocation is written again after 1.9 s.
     */
    @Test
    void takesNoReadForAProofThatMissesALostChange() {
      SplittableRandom random = new SplittableRandom(26);
      long rewritten = 19 * SECOND / 10;
      List<StoreCompleteness> instances = new ArrayList<>();
      for (int i = 0; i < INSTANCES; i++) {
        StoreCompleteness instance = new StoreCompleteness(i % 3 != 0);
        if (i % 3 != 0) {
          instance.proves(read(1, -SECOND), -SECOND);
        }
        instances.add(instance);
      }
      int proofs = 0;
      for (long now = 0; now < 6 * SECOND; now += SECOND / 10) {
        for (StoreCompleteness instance : instances) {
          boolean cutOff = random.nextInt(4) == 0;
          if (!cutOff && instance.proves(read(2, now), now + SECOND / 100)) {
            assertThat(now).isAtLeast(rewritten);
            proofs++;
          }
          if (random.nextInt(10) == 0) {
            instances.get(random.nextInt(INSTANCES)).confirm(instance.completeIncarnation());
          }
        }
      }

      assertThat(proofs).isAtLeast(INSTANCES * 10);
    }
  }
}
