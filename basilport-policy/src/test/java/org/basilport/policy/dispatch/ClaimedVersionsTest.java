package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Versions that other instances know to have served. */
class ClaimedVersionsTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long RETENTION = 39 * SECOND;

  private final ClaimedVersions claimed = new ClaimedVersions();

  private void replace(long nowNanos, Map<String, Set<String>> versionsByInstance) {
    Map<String, Map<String, Set<String>>> versions = new HashMap<>();
    versionsByInstance.forEach((instance, names) -> versions.put(instance, Map.of("s", names)));
    claimed.replace(versions, nowNanos);
  }

  /** Guards against versions that count for ever because an instance was lost. */
  @Test
  void countAsLongAsTheirStreamsMayBeTakenUp() {
    replace(0, Map.of("i1", Set.of("v1"), "i2", Set.of("v2")));
    replace(30 * SECOND, Map.of("i1", Set.of("v1"), "i2", Set.of("v2")));

    assertThat(claimed.recent("s", RETENTION, RETENTION)).containsExactly("v1", "v2");
    assertThat(claimed.recent("other", RETENTION, RETENTION)).isEmpty();
    assertThat(claimed.recent("s", RETENTION + 1, RETENTION)).isEmpty();
  }

  /** Guards against taking a new claim for the old one of another instance. */
  @Test
  void countAnewIfAnotherInstanceClaimsThem() {
    replace(0, Map.of("i1", Set.of("v1")));
    replace(30 * SECOND, Map.of("i1", Set.of("v1"), "i2", Set.of("v1")));

    assertThat(claimed.recent("s", 50 * SECOND, RETENTION)).containsExactly("v1");
    replace(50 * SECOND, Map.of("i1", Set.of("v1")));
    assertThat(claimed.recent("s", 50 * SECOND, RETENTION)).isEmpty();
  }
}
