package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Calls of services while data centres are evacuated. */
class GatewayEvacuationsTest extends EvacuationFixture {
  /** Connections that this instance may use at one server: 0.9 of 10. */
  private static final int CONNECTIONS = 9;

  private static final int QUEUED = 5;

  @Nested
  class FirstSends {
    /** Guards against sending to an evacuated data centre, also to a server listed later. */
    @Test
    void goToOtherDataCentres() throws Exception {
      ScriptedServer evacuated = serveIn("a", "plain", EvacuationFixture::answer);
      evacuate("a", "b");
      ScriptedServer later = serveIn("b", "plain", EvacuationFixture::answer);
      ScriptedServer other = serveIn("c", "plain", EvacuationFixture::answer);
      for (int i = 0; i < 20; i++) {
        assertThat(read("r" + i)).startsWith("HTTP/1.1 200");
      }

      assertThat(evacuated.requests()).isEmpty();
      assertThat(later.requests()).isEmpty();
      assertThat(other.requests()).hasSize(20);
    }

    /** Guards against requests that wait although no data centre is left. */
    @Test
    void areRejectedIfAllDataCentresAreEvacuated() throws Exception {
      ScriptedServer first = serveIn("a", "plain", EvacuationFixture::answer);
      ScriptedServer second = serveIn("b", "plain", EvacuationFixture::answer);
      evacuate("a", "b");

      assertRejected(read("r1"));
      assertThat(first.requests()).isEmpty();
      assertThat(second.requests()).isEmpty();
    }

    /** Guards against an evacuation without an end, and against listeners that know too late. */
    @Test
    void reachRestoredServersAfterTheListenersKnow() throws Exception {
      List<String> restored = new CopyOnWriteArrayList<>();
      gateway.onDataCentreRestored((dataCentre, nowNanos) -> restored.add(dataCentre));
      serveIn(
          "b",
          "plain",
          (request, out, socket) ->
              ScriptedServer.sendResponse(out, request, 200, "after " + restored));
      evacuate("b", "c");
      assertRejected(read("r1"));
      evacuate("c");

      assertThat(read("r2")).contains("after [b]");
    }
  }

  @Nested
  class Retries {
    /** Guards against a retry at a server whose data centre was evacuated after the first send. */
    @Test
    void doNotReachEvacuatedServers() throws Exception {
      ScriptedServer preferred =
          serveIn(
              "a",
              "plain",
              (request, out, socket) -> {
                evacuate("b");
                ScriptedServer.sendResponse(out, request, 503, "not-run: 1\r\n", "busy");
              });
      ScriptedServer evacuated = serveIn("b", "plain", EvacuationFixture::answer);

      assertRejected(read("r1"));
      assertThat(preferred.requests()).hasSize(1);
      assertThat(evacuated.requests()).isEmpty();
    }
  }

  @Nested
  class QueuedRequests {
    /** Guards against queued requests that reach the server or wait, and against lost answers. */
    @Test
    void areRejectedWhileRunningOnesEnd() throws Exception {
      CountDownLatch released = new CountDownLatch(1);
      ScriptedServer server =
          serveIn(
              "b",
              "plain",
              (request, out, socket) -> {
                released.await(20, TimeUnit.SECONDS);
                ScriptedServer.sendResponse(out, request, 200, "ok");
              });
      List<CompletableFuture<String>> running = new ArrayList<>();
      for (int i = 0; i < CONNECTIONS; i++) {
        running.add(startCall("r" + i, "GET", "/read/x"));
      }
      await(() -> server.requests().size() == CONNECTIONS);
      List<CompletableFuture<String>> queued = new ArrayList<>();
      for (int i = 0; i < QUEUED; i++) {
        queued.add(startCall("q" + i, "GET", "/read/x"));
      }
      await(() -> gauge("forward.waiting") == QUEUED);
      evacuate("b");

      for (CompletableFuture<String> call : queued) {
        assertRejected(call.get(30, TimeUnit.SECONDS));
      }
      released.countDown();
      for (CompletableFuture<String> call : running) {
        assertThat(call.get(30, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
      }
      assertThat(server.requests()).hasSize(CONNECTIONS);
    }
  }

  @Nested
  class RequestsThatWaitForAConnection {
    /** Guards against a send on a connection that was requested before the evacuation. */
    @Test
    void areNotSent() throws Exception {
      ScriptedServer server = serveIn("b", "plain", EvacuationFixture::answer);
      // The evacuation is applied after the placement and before the connection is open.
      beforePlacement.set(() -> update("b"));
      // A process that was paused delays the placement, which is then refused at once.
      for (int i = 0; i < 20 && refusedSends() == 0; i++) {
        evacuate();
        assertRejected(read("r" + i));
      }

      assertThat(refusedSends()).isGreaterThan(0L);
      assertThat(server.requests()).isEmpty();
    }

    private long refusedSends() {
      return registry.counter("evacuations.refused_sends").getCount();
    }
  }

  @Nested
  class Starts {
    /** Guards against a restarted instance that sends before it knows the evacuations. */
    @Test
    void sendNothingBeforeTheFirstRead() throws Exception {
      ScriptedServer server = serveIn("b", "plain", EvacuationFixture::answer);
      gateway.stop().get(10, TimeUnit.SECONDS);
      start(Optional.of(Duration.ofSeconds(5)));
      gateway.updateServers(entries, "test");

      assertThat(read("r1")).startsWith("HTTP/1.1 503");
      assertThat(server.requests()).isEmpty();
      evacuate("c");
      assertThat(read("r2")).startsWith("HTTP/1.1 200");
    }

    /** Guards against other decisions in a deployment that does not ask for evacuations. */
    @Test
    void withoutTheSettingEvacuateNothing() throws Exception {
      serveIn("b", "plain", EvacuationFixture::answer);
      gateway.stop().get(10, TimeUnit.SECONDS);
      start(Optional.empty());
      gateway.updateServers(entries, "test");
      update("b");

      assertThat(read("r1")).startsWith("HTTP/1.1 200");
      assertThat(registry.getNames().stream().filter(name -> name.startsWith("evacuations.")))
          .isEmpty();
    }
  }
}
