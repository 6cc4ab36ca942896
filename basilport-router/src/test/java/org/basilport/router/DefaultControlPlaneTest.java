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
  private final ControlFleet fleet = new ControlFleet(11, 7);

  @AfterEach
  void noInvariantIsViolated() {
    assertThat(fleet.events(EventType.INVARIANT_VIOLATED)).isEmpty();
  }

  private void applyFirst() {
    fleet.run(3);
    fleet.apply("instance-0", "first");
    fleet.run(3);
    assertThat(fleet.number("instance-6")).isEqualTo(1);
  }

  private void assertInForce(long number, String... except) {
    Duration took = fleet.runUntilInForce(number, List.of(except));
    assertWithMessage("time until number %s was in force", number)
        .that(took)
        .isLessThan(PROPAGATION_LIMIT);
  }

  @Nested
  class Propagation {
    @Test
    void reachesAllInstances() {
      applyFirst();
      fleet.apply("instance-2", "second");
      assertInForce(2);
      assertThat(fleet.planes.get("instance-5").configurationConfirmed(Duration.ofSeconds(2)))
          .isTrue();
    }

    // Guards against a change that spreads only from the instance that accepted it.
    @ParameterizedTest
    @CsvSource({"isolated", "killed", "paused"})
    void survivesTheLossOfTheAcceptingInstance(String fault) {
      applyFirst();
      fleet.apply("instance-2", "second");
      fleet.scheduler.runFor(Duration.ofMillis(7));
      switch (fault) {
        case "isolated" -> fleet.network.isolate(ControlFleet.address("instance-2"));
        case "killed" -> fleet.kill("instance-2");
        default -> fleet.network.pause(ControlFleet.address("instance-2"));
      }
      assertInForce(2, "instance-2");
    }

    // Guards against two faults at once: one instance cut off, another one paused.
    @Test
    void survivesPartitionAndPauseTogether() {
      applyFirst();
      fleet.network.isolate(ControlFleet.address("instance-1"));
      fleet.network.pause(ControlFleet.address("instance-4"));
      fleet.run(8);
      fleet.apply("instance-2", "second");
      assertInForce(2, "instance-4");
      fleet.network.resume(ControlFleet.address("instance-4"));
      assertInForce(2);
    }

    @Test
    void reachesInstancesThatThePlatformDoesNotAnswer() {
      applyFirst();
      fleet.apply("instance-3", "second");
      fleet.scheduler.runFor(Duration.ofMillis(7));
      fleet.platform.outage(true);
      assertInForce(2);
    }

    @Test
    void startsFromAPeerWhileThePlatformIsDown() {
      applyFirst();
      fleet.platform.outage(true);
      fleet.listDown = true;
      fleet.run(5);
      fleet.start("instance-7", 1, List.of(ControlFleet.address("instance-3")));
      assertInForce(1);
      fleet.kill("instance-5");
      fleet.run(1);
      fleet.network.resume(ControlFleet.address("instance-5"));
      fleet.start("instance-5", 2, List.of());
      assertInForce(1);
    }

    // Guards against serving with an old configuration after the process was paused.
    @Test
    void pausedInstanceIsNotFreshBeforeItHasChecked() {
      applyFirst();
      String address = ControlFleet.address("instance-4");
      DefaultControlPlane paused = fleet.planes.get("instance-4");
      fleet.network.pause(address);
      fleet.run(10);
      fleet.apply("instance-0", "second");
      fleet.run(3);
      assertThat(paused.acceptsRequests()).isFalse();
      fleet.network.resume(address);
      while (!paused.acceptsRequests()) {
        fleet.scheduler.runFor(Duration.ofMillis(1));
      }
      assertThat(fleet.number("instance-4")).isEqualTo(2);
      assertThat(fleet.events(EventType.INSTANCE_PAUSED)).hasSize(1);
    }

    // Guards against pairs of faults that the named cases do not cover.
    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25, 26, 27, 28, 29, 30})
    void survivesRandomPairsOfFaults(long seed) {
      ControlFleet random = new ControlFleet(seed, 7);
      SplittableRandom choice = new SplittableRandom(seed);
      random.run(3);
      random.apply("instance-0", "first");
      random.run(3 + choice.nextDouble());
      List<String> lost = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        String id = "instance-" + (1 + choice.nextInt(6));
        switch (choice.nextInt(3)) {
          case 0 -> random.network.pause(ControlFleet.address(id));
          case 1 -> random.network.isolate(ControlFleet.address(id));
          default ->
              random.network.partition(
                  ControlFleet.address(id), ControlFleet.address("instance-0"));
        }
        lost.add(id);
      }
      random.run(choice.nextDouble() * 10);
      random.apply("instance-0", "second");
      assertThat(random.runUntilInForce(2, lost)).isLessThan(PROPAGATION_LIMIT);
      random.network.heal();
      lost.forEach(id -> random.network.resume(ControlFleet.address(id)));
      assertThat(random.runUntilInForce(2, List.of())).isLessThan(PROPAGATION_LIMIT);
    }

    // Guards against numbers that go back, under changing faults and concurrent operators.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void numbersNeverGoBack(long seed) {
      ControlFleet random = new ControlFleet(seed, 7);
      SplittableRandom choice = new SplittableRandom(seed);
      long[] largest = new long[7];
      for (int step = 0; step < 200; step++) {
        String id = "instance-" + choice.nextInt(7);
        switch (choice.nextInt(8)) {
          case 0 -> random.network.isolate(ControlFleet.address(id));
          case 1, 2 -> random.network.heal();
          case 3 -> random.network.pause(ControlFleet.address(id));
          case 4 -> random.platform.outage(choice.nextBoolean());
          case 5 -> random.platform.loseNextAnswer("config/head", choice.nextBoolean());
          default -> random.apply(id, "apply-" + step);
        }
        random.run(choice.nextDouble());
        random.network.resume(ControlFleet.address("instance-" + choice.nextInt(7)));
        for (int i = 0; i < 7; i++) {
          long number = random.number("instance-" + i);
          assertThat(number).isAtLeast(largest[i]);
          largest[i] = number;
        }
      }
      random.network.heal();
      random.platform.outage(false);
      random.planes.keySet().forEach(id -> random.network.resume(ControlFleet.address(id)));
      random.run(15);
      long accepted = Arrays.stream(largest).max().orElseThrow();
      random.planes.keySet().forEach(id -> assertThat(random.number(id)).isAtLeast(accepted));
      assertThat(random.events(EventType.INVARIANT_VIOLATED)).isEmpty();
    }
  }

  @Nested
  class Membership {
    private Member seen(String by, String id) {
      return fleet.planes.get(by).membership().members().stream()
          .filter(member -> member.id().equals(id))
          .findFirst()
          .orElse(null);
    }

    @Test
    void deadInstanceIsSuspectedThenDeadThenForgotten() {
      applyFirst();
      fleet.kill("instance-6");
      fleet.run(5);
      assertThat(seen("instance-0", "instance-6").health()).isEqualTo(MemberHealth.SUSPECTED);
      fleet.run(4);
      assertThat(seen("instance-0", "instance-6").health()).isEqualTo(MemberHealth.DEAD);
      fleet.list.remove("instance-6");
      fleet.run(320);
      fleet.planes.keySet().forEach(by -> assertThat(seen(by, "instance-6")).isNull());
    }

    @Test
    void leavingInstanceIsNotNamed() {
      applyFirst();
      fleet.planes.get("instance-4").leave();
      fleet.run(1);
      for (DefaultControlPlane plane : fleet.planes.values()) {
        List<String> named = plane.locator().locate("minera", "move", "bogota-b").addresses();
        assertThat(named).hasSize(6);
        assertThat(named).doesNotContain("instance-4:8080");
        assertThat(named.get(0)).isEqualTo("instance-1:8080");
      }
    }
  }

  @Nested
  class Backends {
    private void assertNoCandidateWithin(String id, double seconds) {
      fleet.run(seconds);
      fleet.planes.forEach(
          (by, plane) ->
              assertWithMessage("candidates at %s", by)
                  .that(plane.backends().candidates("shelf-app").stream().map(BackendServer::id))
                  .doesNotContain(id));
    }

    private void startServers() {
      for (int i = 0; i < 3; i++) {
        fleet.addServer("shelf-" + i, 1);
      }
      applyFirst();
      fleet.run(5);
      fleet
          .planes
          .values()
          .forEach(p -> assertThat(p.backends().candidates("shelf-app")).hasSize(3));
    }

    private void listAsLeaving(String id) {
      ListedInstance entry = fleet.list.get(id);
      fleet.list.put(id, entry.withState(InstanceState.LEAVING));
    }

    @Test
    void leavingByReportAloneReachesAll() {
      startServers();
      fleet.listDown = true;
      fleet.reports.put("shelf-1", new ServiceReport(1, true, 0));
      assertNoCandidateWithin("shelf-1", 5);
    }

    @Test
    void leavingByListAloneReachesAll() {
      startServers();
      fleet.reportsStall = true;
      listAsLeaving("shelf-1");
      assertNoCandidateWithin("shelf-1", 5);
    }

    @Test
    void leavingByListReachesAllWhileTwoInstancesAreCutOffFromOthers() {
      startServers();
      fleet.network.isolate(ControlFleet.address("instance-0"));
      fleet.network.isolate(ControlFleet.address("instance-3"));
      listAsLeaving("shelf-1");
      assertNoCandidateWithin("shelf-1", 5);
    }

    // Guards against a mark that ends when a source changes its mind about the same incarnation.
    @Test
    void markIsPermanentForTheIncarnationOnly() {
      startServers();
      fleet.reports.put("shelf-1", new ServiceReport(1, true, 0));
      assertNoCandidateWithin("shelf-1", 3);
      fleet.reports.put("shelf-1", new ServiceReport(1, false, 0));
      assertNoCandidateWithin("shelf-1", 10);
      fleet.addServer("shelf-1", 2);
      fleet.run(5);
      fleet
          .planes
          .values()
          .forEach(p -> assertThat(p.backends().candidates("shelf-app")).hasSize(3));
    }

    // Guards against a stalled link or an announced leaving that is taken for a crash.
    @ParameterizedTest
    @CsvSource({"refused, 1", "stalled, 0", "leaving, 0"})
    void onlyRefusalWithNewIncarnationIsADeath(String fault, int deaths) {
      startServers();
      List<BackendServer> dead = new ArrayList<>();
      BackendListener listener =
          new BackendListener() {
            @Override
            public void onDeath(BackendServer server) {
              dead.add(server);
            }
          };
      fleet.planes.get("instance-0").backends().addListener(listener);
      if (fault.equals("leaving")) {
        listAsLeaving("shelf-1");
        fleet.run(3);
      }
      if (fault.equals("stalled")) {
        fleet.reportsStall = true;
      } else {
        fleet.reports.remove("shelf-1");
      }
      fleet.run(2);
      fleet.reportsStall = false;
      fleet.addServer("shelf-1", 2);
      fleet.run(5);
      assertThat(dead).hasSize(deaths);
    }
  }

  // Guards against control work whose platform calls grow with the fleet or with an outage.
  @Test
  void platformCallsStayFew() {
    applyFirst();
    long before = fleet.platform.calls();
    fleet.run(60);
    long quiet = fleet.platform.calls() - before;
    assertThat(quiet).isAtMost(60 * 6);
    fleet.platform.outage(true);
    fleet.run(60);
    assertThat(fleet.platform.calls() - before - quiet).isAtMost(60 * 7);
    fleet.platform.outage(false);
    fleet.run(12);
    fleet.apply("instance-1", "after the outage");
    assertInForce(2);
  }
}
