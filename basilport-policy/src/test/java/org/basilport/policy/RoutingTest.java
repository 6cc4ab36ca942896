package org.basilport.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.basilport.policy.routing.OutlierEjector;
import org.basilport.policy.routing.PrefixAffinitySelector;
import org.basilport.policy.routing.PrefixDirectory;
import org.basilport.policy.routing.ReplicaLoad;
import org.basilport.policy.routing.ReplicaSelector;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoutingTest {
  private record Replica(
      String serverId,
      int outstanding,
      boolean sameDataCentre,
      double load,
      double medianTokenMillis)
      implements ReplicaLoad {}

  private static WorkItem item(long prefix) {
    return new WorkItem("r", "w", "route", "m", GenerationClass.STREAMED, 10, 10, prefix, 1);
  }

  @Nested
  class Ejection {
    /** Guards against a load peak that ejects most replicas and overloads the rest. */
    @Test
    void keepsMinimumShareEligible() {
      SplittableRandom random = new SplittableRandom(2);
      OutlierEjector ejector = new OutlierEjector(0.7);
      long[] ejectedUntil = new long[10];
      long now = 1;
      for (int i = 0; i < 5_000; i++) {
        List<Replica> replicas = new ArrayList<>();
        for (int r = 0; r < ejectedUntil.length; r++) {
          replicas.add(new Replica("e" + r, 0, true, 0, 10 + random.nextInt(100)));
        }
        now += 1_000_000_000L;
        ejector.update(replicas, ejectedUntil, now);
        int ejected = 0;
        for (long each : ejectedUntil) {
          ejected += each > now ? 1 : 0;
        }
        assertThat(ejected).isAtMost(3);
      }
    }

    /** Guards against a slow replica that keeps receiving generations. */
    @Test
    void ejectsSlowReplica() {
      long[] ejectedUntil = new long[3];
      List<Replica> replicas =
          List.of(
              new Replica("a", 0, true, 0, 30),
              new Replica("b", 0, true, 0, 90),
              new Replica("c", 0, true, 0, 31));
      new OutlierEjector(0.6).update(replicas, ejectedUntil, 1);
      assertThat(ejectedUntil[1]).isGreaterThan(1L);
      assertThat(ejectedUntil[0] + ejectedUntil[2]).isEqualTo(0);
    }
  }

  @Nested
  class Affinity {
    private final PrefixDirectory prefixDirectory = new PrefixDirectory(2);
    private final PrefixAffinitySelector selector =
        new PrefixAffinitySelector(prefixDirectory, new SplittableRandom(1));
    private final List<Replica> replicas =
        List.of(
            new Replica("a", 0, true, 0.50, 30),
            new Replica("b", 0, true, 0.55, 30),
            new Replica("c", 0, true, 0.90, 30));

    /** Guards against computing a prefix again although a replica has it in its cache. */
    @Test
    void prefersPrefixHolderUnlessMuchMoreLoaded() {
      selector.positions(Map.of("a", 0, "b", 1, "c", 2));
      prefixDirectory.add(7, "b");
      prefixDirectory.add(8, "c");
      for (int i = 0; i < 50; i++) {
        assertThat(selector.select(item(7), replicas, position -> true)).isEqualTo(1);
        assertThat(selector.select(item(8), replicas, position -> true)).isNotEqualTo(2);
      }
    }

    /** Guards against selecting replicas without free memory. */
    @Test
    void neverSelectsReplicaWithoutMemory() {
      selector.positions(Map.of("a", 0, "b", 1, "c", 2));
      prefixDirectory.add(7, "b");
      for (int i = 0; i < 50; i++) {
        assertThat(selector.select(item(7), replicas, position -> position == 2)).isEqualTo(2);
        assertThat(selector.select(item(7), replicas, position -> false))
            .isEqualTo(ReplicaSelector.NONE);
      }
    }

    /** Guards against a directory that grows with the number of prefixes. */
    @Test
    void evictsLeastRecentlyUsedPrefix() {
      prefixDirectory.add(1, "a");
      prefixDirectory.add(2, "a");
      prefixDirectory.add(3, "a");
      assertThat(prefixDirectory.holders(1)).isEmpty();
      assertThat(prefixDirectory.holders(3)).containsExactly("a");
      prefixDirectory.removeReplica("a");
      assertThat(prefixDirectory.holders(3)).isEmpty();
    }
  }
}
