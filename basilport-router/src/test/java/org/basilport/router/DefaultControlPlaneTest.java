package org.basilport.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.basilport.backend.BackendListener;
import org.basilport.backend.BackendServer;
import org.basilport.event.EventType;
import org.basilport.membership.Member;
import org.basilport.membership.MemberHealth;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.service.ServiceReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class DefaultControlPlaneTest {
  private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(3);
  private final ControlPlaneFleet fleet = new ControlPlaneFleet(11, 7);

  @AfterEach
  void noInvariantIsViolated() {
    assertThat(fleet.events(EventType.INVARIANT_VIOLATED)).isEmpty();
  }

  private void applyFirstConfiguration() {
    fleet.runSeconds(3);
    fleet.applyConfiguration("instance-0", "first");
    fleet.runSeconds(3);
    assertThat(fleet.configurationNumber("instance-6")).isEqualTo(1);
  }

  private void assertBecomesCurrent(long number, String... excluded) {
    Duration elapsed = fleet.runUntilCurrent(number, List.of(excluded));
    assertWithMessage("time until number %s was in force", number)
        .that(elapsed)
        .isLessThan(PROPAGATION_LIMIT);
  }

  @Nested
  class Propagation {
    @Test
    void reachesAllInstances() {
      applyFirstConfiguration();
      fleet.applyConfiguration("instance-2", "second");
      assertBecomesCurrent(2);
      assertThat(
              fleet.controlPlanes.get("instance-5").configurationConfirmed(Duration.ofSeconds(2)))
          .isTrue();
    }

    // Guards against a change that only the accepting instance can spread.
    @ParameterizedTest
    @CsvSource({"isolated", "killed", "paused"})
    void survivesLossOfAcceptingInstance(String fault) {
      applyFirstConfiguration();
      fleet.applyConfiguration("instance-2", "second");
      fleet.scheduler.runFor(Duration.ofMillis(7));
      switch (fault) {
        case "isolated" -> fleet.network.isolate(ControlPlaneFleet.address("instance-2"));
        case "killed" -> fleet.kill("instance-2");
        default -> fleet.network.pause(ControlPlaneFleet.address("instance-2"));
      }
      assertBecomesCurrent(2, "instance-2");
    }

    // Guards against two simultaneous faults: one instance partitioned, another one paused.
    @Test
    void survivesPartitionAndPauseTogether() {
      applyFirstConfiguration();
      fleet.network.isolate(ControlPlaneFleet.address("instance-1"));
      fleet.network.pause(ControlPlaneFleet.address("instance-4"));
      fleet.runSeconds(8);
      fleet.applyConfiguration("instance-2", "second");
      assertBecomesCurrent(2, "instance-4");
      fleet.network.resume(ControlPlaneFleet.address("instance-4"));
      assertBecomesCurrent(2);
    }

    @Test
    void reachesInstancesWhilePlatformIsDown() {
      applyFirstConfiguration();
      fleet.applyConfiguration("instance-3", "second");
      fleet.scheduler.runFor(Duration.ofMillis(7));
      fleet.objectStore.outage(true);
      assertBecomesCurrent(2);
    }

    @Test
    void startsFromPeerWhilePlatformIsDown() {
      applyFirstConfiguration();
      fleet.objectStore.outage(true);
      fleet.directoryUnavailable = true;
      fleet.runSeconds(5);
      fleet.start("instance-7", 1, List.of(ControlPlaneFleet.address("instance-3")));
      assertBecomesCurrent(1);
      fleet.kill("instance-5");
      fleet.runSeconds(1);
      fleet.network.resume(ControlPlaneFleet.address("instance-5"));
      fleet.start("instance-5", 2, List.of());
      assertBecomesCurrent(1);
    }

    // Guards against serving with an outdated configuration after a pause of the process.
    @Test
    void pausedInstanceRejectsRequestsUntilRechecked() {
      applyFirstConfiguration();
      String address = ControlPlaneFleet.address("instance-4");
      DefaultControlPlane paused = fleet.controlPlanes.get("instance-4");
      fleet.network.pause(address);
      fleet.runSeconds(10);
      fleet.applyConfiguration("instance-0", "second");
      fleet.runSeconds(3);
      assertThat(paused.acceptsRequests()).isFalse();
      fleet.network.resume(address);
      while (!paused.acceptsRequests()) {
        fleet.scheduler.runFor(Duration.ofMillis(1));
      }
      assertThat(fleet.configurationNumber("instance-4")).isEqualTo(2);
      assertThat(fleet.events(EventType.INSTANCE_PAUSED)).hasSize(1);
    }

    // Guards against pairs of faults that the other cases do not cover.
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25, 26, 27, 28, 29, 30})
    void survivesRandomPairsOfFaults(long seed) {
      ControlPlaneFleet faultyFleet = new ControlPlaneFleet(seed, 7);
      SplittableRandom random = new SplittableRandom(seed);
      faultyFleet.runSeconds(3);
      faultyFleet.applyConfiguration("instance-0", "first");
      faultyFleet.runSeconds(3 + random.nextDouble());
      List<String> faultyIds = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        String id = "instance-" + (1 + random.nextInt(6));
        switch (random.nextInt(3)) {
          case 0 -> faultyFleet.network.pause(ControlPlaneFleet.address(id));
          case 1 -> faultyFleet.network.isolate(ControlPlaneFleet.address(id));
          default ->
              faultyFleet.network.partition(
                  ControlPlaneFleet.address(id), ControlPlaneFleet.address("instance-0"));
        }
        faultyIds.add(id);
      }
      faultyFleet.runSeconds(random.nextDouble() * 10);
      faultyFleet.applyConfiguration("instance-0", "second");
      assertThat(faultyFleet.runUntilCurrent(2, faultyIds)).isLessThan(PROPAGATION_LIMIT);
      faultyFleet.network.heal();
      faultyIds.forEach(id -> faultyFleet.network.resume(ControlPlaneFleet.address(id)));
      assertThat(faultyFleet.runUntilCurrent(2, List.of())).isLessThan(PROPAGATION_LIMIT);
    }

    // Guards against decreasing numbers under changing faults and concurrent changes.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void numbersNeverDecrease(long seed) {
      ControlPlaneFleet faultyFleet = new ControlPlaneFleet(seed, 7);
      SplittableRandom random = new SplittableRandom(seed);
      long[] largest = new long[7];
      for (int step = 0; step < 200; step++) {
        String id = "instance-" + random.nextInt(7);
        switch (random.nextInt(8)) {
          case 0 -> faultyFleet.network.isolate(ControlPlaneFleet.address(id));
          case 1, 2 -> faultyFleet.network.heal();
          case 3 -> faultyFleet.network.pause(ControlPlaneFleet.address(id));
          case 4 -> faultyFleet.objectStore.outage(random.nextBoolean());
          case 5 -> faultyFleet.objectStore.loseNextResponse("config/head", random.nextBoolean());
          default -> faultyFleet.applyConfiguration(id, "apply-" + step);
        }
        faultyFleet.runSeconds(random.nextDouble());
        faultyFleet.network.resume(ControlPlaneFleet.address("instance-" + random.nextInt(7)));
        for (int i = 0; i < 7; i++) {
          long number = faultyFleet.configurationNumber("instance-" + i);
          assertThat(number).isAtLeast(largest[i]);
          largest[i] = number;
        }
      }
      faultyFleet.network.heal();
      faultyFleet.objectStore.outage(false);
      faultyFleet
          .controlPlanes
          .keySet()
          .forEach(id -> faultyFleet.network.resume(ControlPlaneFleet.address(id)));
      faultyFleet.runSeconds(15);
      long accepted = Arrays.stream(largest).max().orElseThrow();
      faultyFleet
          .controlPlanes
          .keySet()
          .forEach(id -> assertThat(faultyFleet.configurationNumber(id)).isAtLeast(accepted));
      assertThat(faultyFleet.events(EventType.INVARIANT_VIOLATED)).isEmpty();
    }
  }

  @Nested
  class Membership {
    private Member memberSeenBy(String by, String id) {
      return fleet.controlPlanes.get(by).membership().members().stream()
          .filter(member -> member.id().equals(id))
          .findFirst()
          .orElse(null);
    }

    @Test
    void silentInstanceIsSuspectedThenDeadThenRemoved() {
      applyFirstConfiguration();
      fleet.kill("instance-6");
      fleet.runSeconds(5);
      assertThat(memberSeenBy("instance-0", "instance-6").health())
          .isEqualTo(MemberHealth.SUSPECTED);
      fleet.runSeconds(4);
      assertThat(memberSeenBy("instance-0", "instance-6").health()).isEqualTo(MemberHealth.DEAD);
      fleet.listedInstances.remove("instance-6");
      fleet.runSeconds(320);
      fleet
          .controlPlanes
          .keySet()
          .forEach(by -> assertThat(memberSeenBy(by, "instance-6")).isNull());
    }

    @Test
    void leavingInstanceIsNotLocated() {
      applyFirstConfiguration();
      fleet.controlPlanes.get("instance-4").leave();
      fleet.runSeconds(1);
      for (DefaultControlPlane controlPlane : fleet.controlPlanes.values()) {
        List<String> addresses =
            controlPlane.locator().locate("minera", "move", "bogota-b").addresses();
        assertThat(addresses).hasSize(6);
        assertThat(addresses).doesNotContain("instance-4:8080");
        assertThat(addresses.get(0)).isEqualTo("instance-1:8080");
      }
    }
  }

  @Nested
  class Backends {
    private void assertNoCandidateWithin(String id, double seconds) {
      fleet.runSeconds(seconds);
      fleet.controlPlanes.forEach(
          (by, controlPlane) ->
              assertWithMessage("candidates at %s", by)
                  .that(
                      controlPlane.backends().candidates("shelf-app").stream()
                          .map(BackendServer::id))
                  .doesNotContain(id));
    }

    private void startServers() {
      for (int i = 0; i < 3; i++) {
        fleet.addServer("shelf-" + i, 1);
      }
      applyFirstConfiguration();
      fleet.runSeconds(5);
      fleet
          .controlPlanes
          .values()
          .forEach(p -> assertThat(p.backends().candidates("shelf-app")).hasSize(3));
    }

    private void listAsLeaving(String id) {
      ListedInstance entry = fleet.listedInstances.get(id);
      fleet.listedInstances.put(id, entry.withState(InstanceState.LEAVING));
    }

    @Test
    void leavingReportReachesAllInstances() {
      startServers();
      fleet.directoryUnavailable = true;
      fleet.reports.put("shelf-1", new ServiceReport(1, true, 0));
      assertNoCandidateWithin("shelf-1", 5);
    }

    @Test
    void leavingListEntryReachesAllInstances() {
      startServers();
      fleet.reportsHang = true;
      listAsLeaving("shelf-1");
      assertNoCandidateWithin("shelf-1", 5);
    }

    @Test
    void leavingListEntryReachesAllDespitePartitions() {
      startServers();
      fleet.network.isolate(ControlPlaneFleet.address("instance-0"));
      fleet.network.isolate(ControlPlaneFleet.address("instance-3"));
      listAsLeaving("shelf-1");
      assertNoCandidateWithin("shelf-1", 5);
    }

    // Guards against a mark that is dropped when a later report of the incarnation denies leaving.
    @Test
    void leavingMarkIsPermanentPerIncarnation() {
      startServers();
      fleet.reports.put("shelf-1", new ServiceReport(1, true, 0));
      assertNoCandidateWithin("shelf-1", 3);
      fleet.reports.put("shelf-1", new ServiceReport(1, false, 0));
      assertNoCandidateWithin("shelf-1", 10);
      fleet.addServer("shelf-1", 2);
      fleet.runSeconds(5);
      fleet
          .controlPlanes
          .values()
          .forEach(p -> assertThat(p.backends().candidates("shelf-app")).hasSize(3));
    }

    // Guards against mistaking a hanging connection or an announced departure for a crash.
    @ParameterizedTest
    @CsvSource({"refused, 1", "stalled, 0", "leaving, 0"})
    void onlyRefusalWithNewIncarnationIsCrash(String fault, int crashes) {
      startServers();
      List<BackendServer> crashed = new ArrayList<>();
      BackendListener listener =
          new BackendListener() {
            @Override
            public void onCrash(BackendServer server) {
              crashed.add(server);
            }
          };
      fleet.controlPlanes.get("instance-0").backends().addListener(listener);
      if (fault.equals("leaving")) {
        listAsLeaving("shelf-1");
        fleet.runSeconds(3);
      }
      if (fault.equals("stalled")) {
        fleet.reportsHang = true;
      } else {
        fleet.reports.remove("shelf-1");
      }
      fleet.runSeconds(2);
      fleet.reportsHang = false;
      fleet.addServer("shelf-1", 2);
      fleet.runSeconds(5);
      assertThat(crashed).hasSize(crashes);
    }
  }

  // Guards against platform calls that increase with the number of instances or during an outage.
  @Test
  void platformCallRateIsBounded() {
    applyFirstConfiguration();
    long before = fleet.objectStore.calls();
    fleet.runSeconds(60);
    long callsInNormalOperation = fleet.objectStore.calls() - before;
    assertThat(callsInNormalOperation).isAtMost(60 * 6);
    fleet.objectStore.outage(true);
    fleet.runSeconds(60);
    assertThat(fleet.objectStore.calls() - before - callsInNormalOperation).isAtMost(60 * 7);
    fleet.objectStore.outage(false);
    fleet.runSeconds(12);
    fleet.applyConfiguration("instance-1", "after the outage");
    assertBecomesCurrent(2);
  }
}
