package org.basilport.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.basilport.backend.BackendServer;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.fake.FakeFleet;
import org.basilport.fake.RecordingListener;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.IsolationRequest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CrashingRequestTest {
  private final FakeFleet fleet = new FakeFleet(2, 5);
  private final IsolationSlots granted = new IsolationSlots(fleet.scheduler);

  private CrashTracker tracker(int instance) {
    return new CrashTracker(fleet.scheduler, fleet.timelines.get(instance), granted, () -> {});
  }

  private RecordingListener send(int router, String prompt) {
    RecordingListener caller = new RecordingListener();
    fleet
        .routers
        .get(router)
        .generate(FakeFleet.CALLER, new GenerationRequest("chat", prompt, 40), caller)
        .request(1_000);
    return caller;
  }

  @Nested
  class WholePath {
    /** Guards against a request that takes down one backend server after the other. */
    @Test
    void atMostTwoEnginesDieAndInnocentRequestsComplete() {
      List<RecordingListener> innocents = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        innocents.add(send(i % 2, "innocent " + i));
      }
      RecordingListener marked = send(0, "crash");
      for (int round = 0; round < 30; round++) {
        fleet.advanceMillis(3_000);
        if (marked.failure != null) {
          marked = send(round % 2, "crash");
        }
        resendFailed(innocents);
      }
      fleet.advanceMillis(3_000);

      assertThat(fleet.engineCrashes()).isAtMost(2);
      innocents.forEach(innocent -> assertThat(innocent.ended).isTrue());
      RecordingListener last = send(1, "crash");
      fleet.advanceMillis(1_000);
      assertThat(last.failure.code()).isEqualTo(FailureCode.QUARANTINED);
      assertThat(last.failure.outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(last.failure.retryAfter().isPresent()).isFalse();
    }

    private void resendFailed(List<RecordingListener> innocents) {
      for (int i = 0; i < innocents.size(); i++) {
        if (innocents.get(i).failure != null) {
          innocents.set(i, send(i % 2, "innocent " + i));
        }
      }
    }

    /** Guards against innocent requests that stay under suspicion after they completed. */
    @Test
    void aSuspectThatCompletesIsCleared() {
      send(0, "crash");
      RecordingListener innocent = send(0, "innocent");
      fleet.advanceMillis(20_000);
      for (int i = 0; i < 5 && !innocent.ended; i++) {
        innocent = send(0, "innocent");
        fleet.advanceMillis(5_000);
      }

      assertThat(innocent.ended).isTrue();
      RecordingListener again = send(0, "innocent");
      fleet.advanceMillis(2_000);
      assertThat(again.ended).isTrue();
    }

    /** Guards against a quarantine that lasts for ever. */
    @Test
    void aQuarantineExpires() {
      CrashTracker tracker = tracker(0);
      BackendServer server = fleet.controlPlanes.get(0).find("engine-0").orElseThrow();
      tracker.begin("f", server, false);
      tracker.onDeath(server);
      assertThat(tracker.verdict("f")).isEqualTo(Verdict.SUSPECT);
      BackendServer second = fleet.controlPlanes.get(0).find("engine-1").orElseThrow();
      tracker.begin("f", second, true);
      tracker.onDeath(second);
      assertThat(tracker.verdict("f")).isEqualTo(Verdict.QUARANTINED);

      fleet.advanceMillis(CrashTracker.QUARANTINE.toMillis() + 1);
      assertThat(tracker.verdict("f")).isEqualTo(Verdict.CLEAR);
    }
  }

  @Nested
  class News {
    private final CrashTracker first = tracker(0);
    private final CrashTracker second = tracker(1);

    private BackendServer engine(int number) {
      return fleet.controlPlanes.get(0).find("engine-" + number).orElseThrow();
    }

    private void gossip() {
      GossipMessage.Builder message = GossipMessage.newBuilder();
      first.contribute(message, 0);
      second.receive(message.build());
    }

    /** Guards against a third death when the death in isolation becomes known before the other. */
    @Test
    void deathsThatBecomeKnownInAnyOrderLeadToAQuarantine() {
      first.begin("f", engine(0), false);
      first.begin("f", engine(1), true);

      first.onDeath(engine(1));
      first.onDeath(engine(0));

      assertThat(first.verdict("f")).isEqualTo(Verdict.QUARANTINED);
    }

    /** Guards against a resend that crashes the next server before the first death is known. */
    @Test
    void aLostConnectionIsToldBeforeTheDeathIsKnown() {
      first.begin("f", engine(0), false).lost();
      gossip();

      assertThat(second.verdict("f")).isEqualTo(Verdict.SUSPECT);
    }

    /** Guards against an innocent request that is blamed for the deaths that another one caused. */
    @Test
    void deathsOfAQuarantinedRequestDoNotCountAgainstOthers() {
      first.begin("crashing", engine(0), false);
      first.onDeath(engine(0));
      first.begin("crashing", engine(1), true);
      first.begin("innocent", engine(1), false);
      first.onDeath(engine(1));
      assertThat(first.verdict("innocent")).isEqualTo(Verdict.CLEAR);

      first.begin("innocent", engine(2), true);
      first.onDeath(engine(2));

      assertThat(first.verdict("innocent")).isEqualTo(Verdict.SUSPECT);
      assertThat(first.verdict("crashing")).isEqualTo(Verdict.QUARANTINED);
    }

    /** Guards against a death that nobody counts when the holder of the slot dies with it. */
    @Test
    void theOwnerOfTheSlotCountsTheDeathOfItsHolder() {
      first.begin("f", engine(0), false);
      first.onDeath(engine(0));
      granted.acquire(
          IsolationRequest.newBuilder()
              .setServerId("engine-1")
              .setFingerprint("f")
              .setHolderId("killed-instance")
              .build());

      first.onDeath(engine(1));

      assertThat(first.verdict("f")).isEqualTo(Verdict.QUARANTINED);
    }

    /**
     * Guards against a death that nobody counts when the instance that saw the loss is replaced.
     */
    @Test
    void aLossThatWasToldBecomesADeathAtOtherInstances() {
      first.begin("f", engine(0), false).lost();
      gossip();

      second.onDeath(engine(0));
      fleet.advanceMillis(CrashTracker.DEATH_NEWS.toMillis() + 1);

      assertThat(second.verdict("f")).isEqualTo(Verdict.SUSPECT);
    }

    /** Guards against suspicions that use up the bytes for heartbeats after a busy engine died. */
    @Test
    void newsKeepsToItsRoom() {
      for (int i = 0; i < 500; i++) {
        first.begin("victim-" + i, engine(0), false);
      }
      first.onDeath(engine(0));
      GossipMessage.Builder message = GossipMessage.newBuilder();
      first.contribute(message, 0);

      assertThat(message.getSuspicionsCount()).isGreaterThan(0);
      assertThat(message.build().getSerializedSize())
          .isAtMost(SuspicionNews.MIN_ROOM_BYTES + 4 * message.getSuspicionsCount());
    }

    /** Guards against many older suspects that keep the newest one from travelling. */
    @Test
    void newsTravelsBeforeOlderSuspects() {
      for (int i = 0; i < 500; i++) {
        first.begin("old-" + i, engine(0), false);
      }
      first.onDeath(engine(0));
      first.begin("newest", engine(1), false).lost();
      gossip();

      assertThat(second.verdict("newest")).isEqualTo(Verdict.SUSPECT);
    }
  }

  /** Guards against a quarantine that ends when all instances are restarted. */
  @Test
  void aQuarantineIsReadFromThePlatformAtStart() {
    RecordingListener marked = send(0, "crash");
    for (int round = 0; round < 20 && fleet.engineCrashes() < 2; round++) {
      fleet.advanceMillis(3_000);
      marked = marked.failure == null ? marked : send(0, "crash");
    }
    fleet.advanceMillis(5_000);

    CrashTracker restarted = tracker(0);
    new QuarantineStore(fleet.store, fleet.scheduler, restarted).start();
    fleet.advanceMillis(1_000);
    String fingerprint = RequestFingerprint.of("w", "chat", "crash");
    assertThat(restarted.verdict(fingerprint)).isEqualTo(Verdict.QUARANTINED);
  }

  @Nested
  class Slots {
    private final IsolationSlots slots = new IsolationSlots(fleet.scheduler);

    private boolean acquire(String server, String fingerprint, String holder) {
      return slots
          .acquire(
              IsolationRequest.newBuilder()
                  .setServerId(server)
                  .setFingerprint(fingerprint)
                  .setHolderId(holder)
                  .build())
          .getGranted();
    }

    /** Guards against two suspects on one server and one suspect on two servers. */
    @Test
    void aSlotHasOneHolderAndAFingerprintRunsOnce() {
      assertThat(acquire("a", "f1", "h1")).isTrue();
      assertThat(acquire("a", "f1", "h1")).isTrue();
      assertThat(acquire("a", "f2", "h2")).isFalse();
      assertThat(acquire("b", "f1", "h3")).isFalse();
    }

    /** Guards against a server that stays blocked by a holder that died. */
    @Test
    void aSlotThatIsNotRenewedExpires() {
      acquire("a", "f1", "h1");
      fleet.advanceMillis(IsolationSlots.LIFETIME.toMillis() + 1);
      assertThat(acquire("a", "f2", "h2")).isTrue();
    }
  }
}
