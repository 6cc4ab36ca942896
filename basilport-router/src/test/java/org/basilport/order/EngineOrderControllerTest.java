package org.basilport.order;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import java.util.TreeSet;
import org.basilport.engine.EngineOrder;
import org.basilport.event.EventType;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class EngineOrderControllerTest {
  /** Report age, one round, the wait for the weight store and a load, for two engines in turn. */
  private static final int CORRECTION_SECONDS = 30;

  @Nested
  class CompetingHolders {
    /** Guards against a stale order that stays in effect, or is accepted despite fencing. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void enginesReachTargetOfNewestHolder(boolean enforcesFencing) {
      OrderFleet fleet = new OrderFleet(2, 2);
      fleet.engines.values().forEach(engine -> engine.enforcesFencing = enforcesFencing);
      fleet.place(Map.of("base", 2));
      fleet.run(60);
      assertThat(fleet.replicas("base")).isEqualTo(2);

      OrderInstance old = fleet.instances.get(0);
      old.delaysOrders = true;
      fleet.place(Map.of("base", 2, "old", 2));
      fleet.run(4);
      old.pause();
      fleet.owner = "i1";
      fleet.place(Map.of("base", 2, "new", 2));
      fleet.run(90);
      assertThat(fleet.loadedModels()).containsExactly("base", "new");

      long sent = old.events(EventType.ORDER_SENT);
      old.resume();
      assertThat(old.releaseOrders()).isAtLeast(1);
      fleet.run(6);
      assertThat(fleet.loadedModels().contains("old")).isEqualTo(!enforcesFencing);
      fleet.run(CORRECTION_SECONDS);
      assertThat(fleet.loadedModels()).containsExactly("base", "new");
      assertThat(fleet.replicas("new")).isEqualTo(2);
      assertThat(old.events(EventType.ORDER_SENT)).isEqualTo(sent);
      if (enforcesFencing) {
        fleet.engines.values().forEach(EngineOrderControllerTest::assertTokensNeverDecrease);
        assertThat(fleet.engines.values().stream().mapToInt(e -> e.refusedOrders).sum())
            .isAtLeast(1);
      }
    }

    /** Guards against two holders, and against a lease without a holder, after platform faults. */
    @ParameterizedTest
    @CsvSource({
      "1, 0, false, false",
      "3, 0, false, false",
      "0, 1, false, false",
      "0, 3, false, false",
      "0, 0, true, false",
      "2, 1, true, true",
      "0, 0, false, true"
    })
    void exactlyOneInstanceHoldsTheLeaseAfterFaults(
        int lostResponses, int lateWrites, boolean outage, boolean ownerChanges) {
      OrderFleet fleet = new OrderFleet(3, 1);
      for (int fault = 0; fault < 5; fault++) {
        fleet.store.lostResponses = lostResponses;
        fleet.store.delayedWrites = lateWrites;
        fleet.store.unavailable = outage;
        fleet.owner = ownerChanges ? "i" + fault % 3 : "i0";
        fleet.run(7);
        fleet.instances.get(fault % 3).pause();
        fleet.run(15);
        fleet.store.unavailable = false;
        fleet.instances.get(fault % 3).resume();
        fleet.run(40);
        assertThat(fleet.instances.stream().filter(OrderInstance::mayOrder).count()).isEqualTo(1);
      }
    }

    /** Guards against a holder that continues, or never recovers, when the platform hangs. */
    @Test
    void holderWithoutPlatformStopsBeforeAnotherStarts() {
      OrderFleet fleet = new OrderFleet(2, 1);
      fleet.run(10);
      fleet.instances.get(0).platformUnresponsive = true;
      fleet.owner = "i1";
      fleet.run(9);
      assertThat(fleet.instances.get(0).mayOrder()).isFalse();
      fleet.run(12);
      assertThat(fleet.instances.get(1).mayOrder()).isTrue();
      fleet.instances.get(1).orders.stop();
      fleet.instances.get(0).platformUnresponsive = false;
      fleet.owner = "i0";
      fleet.run(15);
      assertThat(fleet.instances.get(0).mayOrder()).isTrue();
    }

    /** Guards against a lease without a holder while its owner cannot use the platform. */
    @Test
    void anotherInstanceAcquiresLeaseThatItsOwnerDoesNotAcquire() {
      OrderFleet fleet = new OrderFleet(2, 1);
      fleet.instances.get(0).pause();
      fleet.run(95);
      assertThat(fleet.instances.get(1).mayOrder()).isTrue();
    }

    /** Guards against a handover that waits for the lease to expire. */
    @Test
    void releasesLeaseOnStop() {
      OrderFleet fleet = new OrderFleet(2, 1);
      fleet.run(10);
      fleet.instances.get(0).orders.stop();
      fleet.owner = "i1";
      fleet.run(3);
      assertThat(fleet.instances.get(1).mayOrder()).isTrue();
    }
  }

  @Nested
  class InvariantChecks {
    /** Verifies that the check for two holders detects a store that ignores versions. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void detectsTwoHoldersWhenVersionsAreIgnored(boolean ignoresVersions) {
      OrderFleet fleet = new OrderFleet(2, 1);
      fleet.owner = OrderFleet.EVERY_INSTANCE;
      fleet.store.ignoresVersions = ignoresVersions;
      if (ignoresVersions) {
        assertThrows(AssertionError.class, () -> fleet.run(60));
      } else {
        fleet.run(60);
      }
    }

    /** Verifies that a fencing token that does not grow is an invariant violation. */
    @Test
    void detectsTokenThatDoesNotGrow() {
      OrderFleet fleet = new OrderFleet(1, 1);
      fleet.store.returnsReplacedVersion = true;
      fleet.run(10);
      assertThat(fleet.events(EventType.INVARIANT_VIOLATED)).isAtLeast(1);
      assertThat(fleet.events(EventType.ORDER_SENT)).isEqualTo(0);
    }
  }

  /** Guards against orders without a lease, and against a burst when the platform recovers. */
  @Test
  void sendsNoOrdersInAnOutageAndNoBurstAfterIt() {
    OrderFleet fleet = new OrderFleet(2, 8);
    fleet.place(Map.of("base", 8));
    fleet.run(200);
    assertThat(fleet.replicas("base")).isEqualTo(8);
    fleet.store.unavailable = true;
    fleet.run(11);
    fleet.engines.values().forEach(OrderedEngine::restart);
    long before = fleet.events(EventType.ORDER_SENT);
    fleet.run(120);
    assertThat(fleet.events(EventType.ORDER_SENT)).isEqualTo(before);
    fleet.store.unavailable = false;
    for (int second = 0; second < 200; second++) {
      long sent = fleet.events(EventType.ORDER_SENT);
      fleet.run(1);
      assertThat(fleet.events(EventType.ORDER_SENT) - sent).isAtMost(4);
    }
    assertThat(fleet.replicas("base")).isEqualTo(8);
  }

  /** Guards against more fetches than the weight store granted, across all instances. */
  @Test
  void fetchesOnlyWhatTheWeightStoreGrants() {
    OrderFleet fleet = new OrderFleet(3, 8);
    fleet.place(Map.of("base", 8, "extra", 8));
    for (int i = 0; i < 40; i++) {
      fleet.owner = "i" + i / 10 % 3;
      fleet.instances.get(i % 3).pause();
      fleet.run(8);
      fleet.instances.get(i % 3).resume();
      assertThat(fleet.fetches()).isAtMost(fleet.grantedFetches);
    }
    fleet.run(200);
    assertThat(fleet.replicas("base")).isEqualTo(8);
    assertThat(fleet.replicas("extra")).isEqualTo(8);
    assertThat(fleet.events(EventType.FETCH_REFUSED)).isAtLeast(1);
    assertThat(fleet.fetches()).isAtMost(fleet.grantedFetches);
    assertThat(fleet.events(EventType.INVARIANT_VIOLATED)).isEqualTo(0);
  }

  /** Guards against an engine that stays without models after a restart. */
  @Test
  void reloadsModelsOfRestartedEngine() {
    OrderFleet fleet = new OrderFleet(1, 2);
    fleet.place(Map.of("base", 2));
    fleet.run(60);
    fleet.engines.get("e0").restart();
    fleet.run(20);
    assertThat(fleet.replicas("base")).isEqualTo(2);
    int orders = fleet.engines.get("e0").acceptedOrders.size();
    fleet.run(120);
    assertThat(fleet.engines.get("e0").acceptedOrders).hasSize(orders);
  }

  /** Guards against targets that oscillate once the demand is met. */
  @Test
  void followsDemandWithoutFlapping() {
    OrderFleet fleet = new OrderFleet(1, 4);
    fleet.place(Map.of("base", 1, "verdicts", 1));
    for (int second = 0; second < 600; second++) {
      for (int i = 0; i < 3; i++) {
        fleet.instances.get(0).orders.recordArrival(second < 300 ? "base" : "verdicts");
      }
      fleet.run(1);
    }
    assertThat(fleet.replicas("verdicts")).isEqualTo(3);
    assertThat(fleet.events(EventType.ORDER_SENT)).isAtMost(12);
    TreeSet<String> models = fleet.loadedModels();
    assertThat(models).containsExactly("base", "verdicts");
  }

  private static void assertTokensNeverDecrease(OrderedEngine engine) {
    long last = 0;
    for (EngineOrder order : engine.acceptedOrders) {
      assertThat(order.fencingToken()).isAtLeast(last);
      last = order.fencingToken();
    }
  }
}
