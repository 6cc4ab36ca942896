package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Simultaneous starts of a fleet, whose instances must not all watch the store. */
class FleetDiscoveryTest {
  private static final long START = -5;

  private static long after(long millis) {
    return START + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Guards against instances that take themselves for the only one since all lists are empty. */
  @Test
  void awaitsTheRegistrationsOfAFirstStart() {
    FleetDiscovery discovery = new FleetDiscovery(true, START);

    assertThat(discovery.awaitsOthers(after(100))).isTrue();
    discovery.recordList(false, after(200));
    assertThat(discovery.awaitsOthers(after(2_500))).isTrue();
    discovery.recordList(true, after(2_600));
    assertThat(discovery.awaitsOthers(after(2_600))).isFalse();
  }

  /** Guards against cells of the few instances that registered before the first list. */
  @Test
  void doesNotTakeAFirstListForTheFleet() {
    FleetDiscovery discovery = new FleetDiscovery(true, START);
    discovery.recordList(true, after(200));

    assertThat(discovery.awaitsOthers(after(300))).isTrue();
    discovery.recordList(true, after(2_600));
    assertThat(discovery.awaitsOthers(after(2_600))).isFalse();
    assertThat(discovery.countsSilentMembers(after(4_000))).isTrue();
  }

  /** Guards against an instance without others that never watches the store. */
  @Test
  void endsForAFleetOfOne() {
    FleetDiscovery discovery = new FleetDiscovery(true, START);
    discovery.recordList(false, after(200));

    assertThat(discovery.awaitsOthers(after(2_900))).isTrue();
    assertThat(discovery.awaitsOthers(after(3_100))).isFalse();
    assertThat(discovery.countsSilentMembers(after(3_100))).isFalse();
  }

  /** Guards against a restarted fleet in which each watches because no other has reported yet. */
  @Test
  void countsListedInstancesBeforeTheirFirstReports() {
    FleetDiscovery discovery = new FleetDiscovery(false, START);
    discovery.recordList(true, after(300));

    assertThat(discovery.awaitsOthers(after(300))).isFalse();
    assertThat(discovery.countsSilentMembers(after(1_000))).isTrue();
    assertThat(discovery.countsSilentMembers(after(2_000))).isFalse();
    discovery.recordList(true, after(5_000));
    assertThat(discovery.countsSilentMembers(after(5_001))).isFalse();
  }

  /** Guards against a single instance that waits for others after its restart. */
  @Test
  void doesNotAwaitOthersAfterARestart() {
    FleetDiscovery discovery = new FleetDiscovery(false, START);
    discovery.recordList(false, after(200));

    assertThat(discovery.awaitsOthers(after(201))).isFalse();
  }
}
