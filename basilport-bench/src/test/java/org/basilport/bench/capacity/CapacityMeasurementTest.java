package org.basilport.bench.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class CapacityMeasurementTest {
  private static final double GOSSIP_BYTES_PER_SECOND = 7_200;

  // Guards against gossip traffic that grows with the fleet, and against members, backend servers
  // or configurations that never reach some instances because the message size is bounded.
  @Test
  void fiftyInstancesStayWithinTheGossipLimitAndKnowEverything() {
    CapacityPoint point = new CapacityPoint(50, 100, 100);
    CapacityResult result = new CapacityMeasurement(point, 1, Duration.ofSeconds(20)).run();

    assertThat(result.gossipSentBytes()).isAtMost(GOSSIP_BYTES_PER_SECOND);
    assertThat(result.membersKnownSeconds()).isAtLeast(0);
    assertThat(result.fewestMembers()).isEqualTo(50);
    assertThat(result.fewestServers()).isEqualTo(100);
    assertThat(result.inForceSeconds()).isAtLeast(0);
    assertThat(result.inForceSeconds()).isAtMost(3);
    assertThat(result.deadPairs()).isEqualTo(0);
    assertThat(result.suspectedPairs()).isAtMost(2);
  }

  // Guards against platform calls that grow with the fleet: in each of the 5 data centres, only 2
  // instances watch the configuration and 2 read the instance directory.
  @Test
  void platformCallsDependOnDataCentresOnly() {
    CapacityPoint point = new CapacityPoint(50, 13, 10);
    CapacityResult result = new CapacityMeasurement(point, 2, Duration.ofSeconds(20)).run();

    assertThat(result.reads() + result.watches() + result.lists()).isAtMost(15);
    assertThat(result.writes()).isEqualTo(0);
  }
}
