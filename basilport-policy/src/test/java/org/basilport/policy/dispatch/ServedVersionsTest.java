package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Versions at which streams may be taken up, for one instance and for a large fleet. */
class ServedVersionsTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long RETENTION = 39 * SECOND;

  @Nested
  class OneInstance {
    /** Guards against joining a stream of a version that has just left. */
    @Test
    void remembersAVersionAsLongAsItsStreamsMayBeTakenUp() {
      ServedVersions versions = new ServedVersions(true, 0);
      versions.list(Set.of("v1"), 0);
      assertThat(versions.only(0, RETENTION)).hasValue("v1");
      versions.list(Set.of("v1", "v2"), 10 * SECOND);
      versions.list(Set.of("v2"), 20 * SECOND);
      assertThat(versions.only(58 * SECOND, RETENTION)).isEmpty();
      assertThat(versions.recent(58 * SECOND, RETENTION)).containsExactly("v1", "v2");
      assertThat(versions.only(60 * SECOND, RETENTION)).hasValue("v2");
    }

    /** Guards against taking the only listed version for the only one of before a start. */
    @Test
    void trustsNothingUntilThePastIsKnown() {
      ServedVersions versions = new ServedVersions(false, 0);
      versions.list(Set.of("v2"), 0);
      assertThat(versions.only(SECOND, RETENTION)).isEmpty();
      assertThat(versions.only(RETENTION, RETENTION)).hasValue("v2");
      ServedVersions told = new ServedVersions(false, 0);
      told.list(Set.of("v2"), 0);
      told.add(Set.of("v1"), SECOND);
      told.completePast();
      assertThat(told.only(2 * SECOND, RETENTION)).isEmpty();
      assertThat(told.only(41 * SECOND, RETENTION)).hasValue("v2");
    }
  }

  @Nested
  class Fleet {
    private static final int INSTANCES = 350;

    /**
     * Guards against joined streams after all instances lost their memory during a release: they
     * start in any order, and each replaces what its former life had stored.
     */
    @Test
    void knowsTheVersionsOfBeforeARestartOfAllInstances() {
      List<Set<String>> stored = new ArrayList<>();
      for (int i = 0; i < INSTANCES; i++) {
        stored.add(i % 12 < 2 ? Set.of("v1", "v2") : Set.of());
      }
      SplittableRandom random = new SplittableRandom(26);
      List<Integer> order = new ArrayList<>();
      for (int i = 0; i < INSTANCES; i++) {
        order.add(random.nextInt(order.size() + 1), i);
      }
      for (int started : order) {
        ServedVersions versions = new ServedVersions(false, 0);
        versions.list(Set.of("v2"), 0);
        Set<String> told = new TreeSet<>();
        stored.forEach(told::addAll);
        versions.add(told, 0);
        versions.completePast();
        stored.set(started, versions.recent(0, RETENTION));

        assertThat(versions.only(SECOND, RETENTION)).isEmpty();
      }
    }
  }
}
