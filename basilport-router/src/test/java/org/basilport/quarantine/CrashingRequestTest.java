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
  private final IsolationSlots grantedSlots = new IsolationSlots(fleet.scheduler);

  private CrashTracker tracker(int instance) {
    return new CrashTracker(fleet.scheduler, fleet.timelines.get(instance), grantedSlots, () -> {});
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
  class EndToEnd {
    /** Guards against a request that crashes one backend server after the other. */
    @Test
    void atMostTwoEnginesCrashAndOtherRequestsComplete() {
      List<RecordingListener> otherRequests = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        otherRequests.add(send(i % 2, "innocent " + i));
      }
      RecordingListener crashingRequest = send(0, "crash");
      for (int round = 0; round < 30; round++) {
        fleet.advanceMillis(3_000);
        if (crashingRequest.failure != null) {
          crashingRequest = send(round % 2, "crash");
        }
        resendFailed(otherRequests);
      }
      fleet.advanceMillis(3_000);

      assertThat(fleet.engineCrashes()).isAtMost(2);
      otherRequests.forEach(otherRequest -> assertThat(otherRequest.ended).isTrue());
      RecordingListener last = send(1, "crash");
      fleet.advanceMillis(1_000);
      assertThat(last.failure.code()).isEqualTo(FailureCode.QUARANTINED);
      assertThat(last.failure.outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(last.failure.retryAfter().isPresent()).isFalse();
    }

    private void resendFailed(List<RecordingListener> otherRequests) {
      for (int i = 0; i < otherRequests.size(); i++) {
        if (otherRequests.get(i).failure != null) {
          otherRequests.set(i, send(i % 2, "innocent " + i));
        }
      }
    }

    /** Guards against a request that stays a suspect although it has completed. */
    @Test
    void suspectThatCompletesIsCleared() {
      send(0, "crash");
      RecordingListener otherRequest = send(0, "innocent");
      fleet.advanceMillis(20_000);
      for (int i = 0; i < 5 && !otherRequest.ended; i++) {
        otherRequest = send(0, "innocent");
        fleet.advanceMillis(5_000);
      }

      assertThat(otherRequest.ended).isTrue();
      RecordingListener again = send(0, "innocent");
      fleet.advanceMillis(2_000);
      assertThat(again.ended).isTrue();
    }

    /** Guards against a quarantine without an expiry. */
    @Test
    void quarantineExpires() {
      CrashTracker tracker = tracker(0);
      BackendServer server = fleet.controlPlanes.get(0).find("engine-0").orElseThrow();
      tracker.begin("f", server, false);
      tracker.onCrash(server);
      assertThat(tracker.verdict("f")).isEqualTo(Verdict.SUSPECT);
      BackendServer second = fleet.controlPlanes.get(0).find("engine-1").orElseThrow();
      tracker.begin("f", second, true);
      tracker.onCrash(second);
      assertThat(tracker.verdict("f")).isEqualTo(Verdict.QUARANTINED);

      fleet.advanceMillis(CrashTracker.QUARANTINE_DURATION.toMillis() + 1);
      assertThat(tracker.verdict("f")).isEqualTo(Verdict.CLEAR);
    }
  }

  @Nested
  class SuspicionGossip {
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

    /** Guards against a third crash when the one in isolation is detected before the other. */
    @Test
    void crashesReportedInAnyOrderLeadToQuarantine() {
      first.begin("f", engine(0), false);
      first.begin("f", engine(1), true);

      first.onCrash(engine(1));
      first.onCrash(engine(0));

      assertThat(first.verdict("f")).isEqualTo(Verdict.QUARANTINED);
    }

    /** Guards against a retry that crashes the next server before the first one is detected. */
    @Test
    void gossipsLostConnectionBeforeTheCrashIsKnown() {
      first.begin("f", engine(0), false).connectionLost();
      gossip();

      assertThat(second.verdict("f")).isEqualTo(Verdict.SUSPECT);
    }

    /** Guards against quarantining a request for crashes that another request caused. */
    @Test
    void crashesOfQuarantinedRequestDoNotCountAgainstOthers() {
      first.begin("crashing", engine(0), false);
      first.onCrash(engine(0));
      first.begin("crashing", engine(1), true);
      first.begin("innocent", engine(1), false);
      first.onCrash(engine(1));
      assertThat(first.verdict("innocent")).isEqualTo(Verdict.CLEAR);

      first.begin("innocent", engine(2), true);
      first.onCrash(engine(2));

      assertThat(first.verdict("innocent")).isEqualTo(Verdict.SUSPECT);
      assertThat(first.verdict("crashing")).isEqualTo(Verdict.QUARANTINED);
    }

    /**
     * Guards against an uncounted crash when the holder of the slot crashes together with the
     * server.
     */
    @Test
    void slotOwnerCountsCrashOfTheSuspect() {
      first.begin("f", engine(0), false);
      first.onCrash(engine(0));
      grantedSlots.acquire(
          IsolationRequest.newBuilder()
              .setServerId("engine-1")
              .setFingerprint("f")
              .setHolderId("killed-instance")
              .build());

      first.onCrash(engine(1));

      assertThat(first.verdict("f")).isEqualTo(Verdict.QUARANTINED);
    }

    /** Guards against an uncounted crash when the instance that observed the loss is replaced. */
    @Test
    void gossipedLossCountsAsCrashAtOtherInstances() {
      first.begin("f", engine(0), false).connectionLost();
      gossip();

      second.onCrash(engine(0));
      fleet.advanceMillis(CrashTracker.CRASH_DETECTION_TIMEOUT.toMillis() + 1);

      assertThat(second.verdict("f")).isEqualTo(Verdict.SUSPECT);
    }

    /** Guards against suspicions that crowd out heartbeats after a busy engine died. */
    @Test
    void gossipStaysWithinItsCapacity() {
      for (int i = 0; i < 500; i++) {
        first.begin("victim-" + i, engine(0), false);
      }
      first.onCrash(engine(0));
      GossipMessage.Builder message = GossipMessage.newBuilder();
      first.contribute(message, 0);

      assertThat(message.getSuspicionsCount()).isGreaterThan(0);
      assertThat(message.build().getSerializedSize())
          .isAtMost(SuspicionGossipSelector.MIN_CAPACITY_BYTES + 4 * message.getSuspicionsCount());
    }

    /** Guards against many older suspects that crowd out the newest one. */
    @Test
    void gossipsNewSuspicionsBeforeOlderOnes() {
      for (int i = 0; i < 500; i++) {
        first.begin("old-" + i, engine(0), false);
      }
      first.onCrash(engine(0));
      first.begin("newest", engine(1), false).connectionLost();
      gossip();

      assertThat(second.verdict("newest")).isEqualTo(Verdict.SUSPECT);
    }
  }

  /** Guards against a prompt part that crashes one engine after another in different requests. */
  @Test
  void stopsDifferentRequestsWithAPartThatCrashedFiveEngines() {
    int knownCrashes = 5;
    int toleratedLateRequests = 3;
    FakeFleet largeFleet = new FakeFleet(2, 14);
    for (int i = 0; i < 12; i++) {
      largeFleet
          .routers
          .get(i % 2)
          .generate(
              FakeFleet.CALLER,
              new GenerationRequest("chat", "crash " + i, 40),
              new RecordingListener())
          .request(1_000);
      largeFleet.advanceMillis(6_000);
    }

    assertThat(largeFleet.engineCrashes()).isAtMost(knownCrashes + toleratedLateRequests);
  }

  /** Guards against a quarantine that is lost when all instances restart. */
  @Test
  void readsQuarantineFromThePlatformAtStart() {
    RecordingListener crashingRequest = send(0, "crash");
    for (int round = 0; round < 20 && fleet.engineCrashes() < 2; round++) {
      fleet.advanceMillis(3_000);
      crashingRequest = crashingRequest.failure == null ? crashingRequest : send(0, "crash");
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

    /** Guards against two suspects on one server, and one suspect on two servers. */
    @Test
    void slotHasOneHolderAndFingerprintRunsOnce() {
      assertThat(acquire("a", "f1", "h1")).isTrue();
      assertThat(acquire("a", "f1", "h1")).isTrue();
      assertThat(acquire("a", "f2", "h2")).isFalse();
      assertThat(acquire("b", "f1", "h3")).isFalse();
    }

    /** Guards against a server that stays blocked by a dead holder. */
    @Test
    void slotThatIsNotRenewedExpires() {
      acquire("a", "f1", "h1");
      fleet.advanceMillis(IsolationSlots.SLOT_LIFETIME.toMillis() + 1);
      assertThat(acquire("a", "f2", "h2")).isTrue();
    }
  }
}
