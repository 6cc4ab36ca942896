package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilport.gateway.peer.InstanceEntry;
import org.basilport.misc.LoopbackPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Servers that say in their answers that they leave while the directory is not reachable. */
class GatewayLeavingServersTest extends GatewayFixture {
  private static final String LEAVING = "leaves: 1\r\n";
  private static final int CALLS = 40;

  /** Time for which a request may wait: 0.8 of the target latency of 150 ms. */
  private static final long QUEUE_TIMEOUT_MILLIS = 120;

  private final ScriptedServer.Script sound =
      (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok");

  private String read() throws IOException {
    return call("GET", "/read/x", "key: k1\r\n");
  }

  /** Number of requests that a server receives after its first answer. */
  private int requestsAfterTheFirst(ScriptedServer leaving) throws Exception {
    for (int i = 0; i < CALLS && leaving.requests().isEmpty(); i++) {
      read();
    }
    assertThat(leaving.requests()).hasSize(1);
    for (int i = 0; i < CALLS; i++) {
      assertThat(read()).startsWith("HTTP/1.1 200");
    }
    return leaving.requests().size() - 1;
  }

  @Nested
  class SingleAnswers {
    /** Guards against requests to a server of whose departure only its answer tells. */
    @Test
    void areReadIfTheyAreWhole() throws Exception {
      configure(1, "k1");
      ScriptedServer leaving =
          serve(
              "plain",
              (request, out, socket) ->
                  ScriptedServer.sendResponse(out, request, 200, LEAVING, "ok"));
      serve("plain", sound);

      assertThat(requestsAfterTheFirst(leaving)).isEqualTo(0);
    }

    /** Guards against overlooking the departure in the answer to a request that was not run. */
    @Test
    void areReadIfTheyRefuse() throws Exception {
      configure(1, "k1");
      ScriptedServer leaving =
          serve(
              "plain",
              (request, out, socket) ->
                  ScriptedServer.sendResponse(out, request, 429, LEAVING + "not-run: 1\r\n", ""));
      read();

      assertThat(read()).startsWith("HTTP/1.1 503");
      assertThat(leaving.requests()).hasSize(1);
    }

    /** Guards against overlooking the departure in an interim answer. */
    @Test
    void areReadIfTheyAreInterim() throws Exception {
      configure(1, "k1");
      ScriptedServer leaving =
          serve(
              "plain",
              (request, out, socket) -> {
                ScriptedServer.write(out, "HTTP/1.1 103 S\r\n" + LEAVING + "\r\n");
                ScriptedServer.sendResponse(out, request, 200, "ok");
              });
      serve("plain", sound);

      assertThat(requestsAfterTheFirst(leaving)).isEqualTo(0);
    }

    /** Guards against a departure that an answer by another server at the address tells. */
    @Test
    void areNotReadIfAnotherServerGivesThem() throws Exception {
      configure(1, "k1");
      AtomicInteger answers = new AtomicInteger();
      ScriptedServer reused =
          serve(
              "plain",
              (request, out, socket) -> {
                boolean misdirected = answers.incrementAndGet() == 1;
                ScriptedServer.sendResponse(
                    out, request, misdirected ? 421 : 200, misdirected ? LEAVING : "", "ok");
              });
      read();
      read();

      assertThat(reused.requests()).hasSize(2);
    }
  }

  @Nested
  class Starts {
    /** Guards against a mark that outlives the start of the server which it describes. */
    @Test
    void areUsedAgainUnderTheSameId() throws Exception {
      configure(1, "k1");
      ScriptedServer server =
          serve(
              "plain",
              (request, out, socket) ->
                  ScriptedServer.sendResponse(out, request, 200, LEAVING, "ok"));
      read();
      assertThat(read()).startsWith("HTTP/1.1 503");
      gateway.updateServers(List.of(restarted(entries.get(0))), "test");

      assertThat(read()).startsWith("HTTP/1.1 200");
      assertThat(server.requests()).hasSize(2);
    }

    /** Guards against forgetting a departure when the entry of the server is written again. */
    @Test
    void areNotUsedAgainIfOnlyTheirEntryReturns() throws Exception {
      configure(1, "k1");
      ScriptedServer server =
          serve(
              "plain",
              (request, out, socket) ->
                  ScriptedServer.sendResponse(out, request, 200, LEAVING, "ok"));
      read();
      gateway.updateServers(List.of(), "test");
      gateway.updateServers(entries, "test");

      assertThat(read()).startsWith("HTTP/1.1 503");
      assertThat(server.requests()).hasSize(1);
    }
  }

  @Nested
  class OtherInstances {
    /** Time after which other instances have received a report. */
    private static final long REPORT_MILLIS = 500;

    /** Guards against requests from an instance that could have heard of the departure. */
    @Test
    void hearOfTheDeparture() throws Exception {
      InetSocketAddress otherPeerAddress = LoopbackPorts.freeAddress();
      InetSocketAddress otherFrontend = LoopbackPorts.freeAddress();
      Gateway other =
          startGateway("gateway-2", otherFrontend, otherPeerAddress, new MetricRegistry());
      List<InstanceEntry> instances =
          List.of(
              new InstanceEntry("gateway-1", peerAddress),
              new InstanceEntry("gateway-2", otherPeerAddress));
      gateway.updateInstances(instances);
      other.updateInstances(instances);
      configure(1, "k1");
      ScriptedServer server =
          serve(
              "plain",
              (request, out, socket) ->
                  ScriptedServer.sendResponse(out, request, 200, LEAVING, "ok"));
      read();
      gateway = switchTo(other, otherFrontend);
      configure(1, "k1");
      gateway.updateServers(entries, "test");
      Thread.sleep(REPORT_MILLIS);

      assertThat(read()).startsWith("HTTP/1.1 503");
      assertThat(server.requests()).hasSize(1);
    }

    private Gateway switchTo(Gateway other, InetSocketAddress otherFrontend) {
      former = gateway;
      frontend = otherFrontend;
      return other;
    }

    private Gateway former;

    @AfterEach
    void stopFormer() throws Exception {
      former.stop().get(5, TimeUnit.SECONDS);
    }
  }

  @Nested
  class WholeServices {
    /** Guards against requests that wait although no server takes any. */
    @Test
    void rejectAtOnceIfAllServersLeave() throws Exception {
      configure(1, "k1");
      for (int i = 0; i < 4; i++) {
        serve(
            "plain",
            (request, out, socket) ->
                ScriptedServer.sendResponse(out, request, 200, LEAVING, "ok"));
      }
      for (int i = 0; i < 4; i++) {
        assertThat(read()).startsWith("HTTP/1.1 200");
      }
      long elapsedMillis =
          shortestMillis(
              QUEUE_TIMEOUT_MILLIS,
              () -> {
                String response = read();
                assertThat(response).startsWith("HTTP/1.1 503");
                assertThat(response).contains("retry-after");
              });

      assertThat(elapsedMillis).isLessThan(QUEUE_TIMEOUT_MILLIS);
      servers.forEach(server -> assertThat(server.requests()).hasSize(1));
    }

    /** Guards against a service that is lost for good because its servers have left. */
    @Test
    void areServedByServersThatStartLater() throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, LEAVING, "ok"));
      read();
      serve("plain", sound);

      assertThat(read()).startsWith("HTTP/1.1 200");
    }
  }

  @Nested
  class Streams {
    private final CountDownLatch stopped = new CountDownLatch(2);
    private final AtomicInteger heads = new AtomicInteger();

    private final AtomicInteger written = new AtomicInteger();

    private CompletableFuture<String> stream(String id) {
      return startCall(id, "POST", "/stream/x", "key: k1\r\ntokens: 100\r\n");
    }

    /** Waits until the first events of streams are written and the gateway receives them. */
    private void awaitEvents(int streams) {
      await(() -> written.get() == streams);
      awaitFirstEvents("/stream/", streams);
    }

    /** Guards against streams that stay at an engine until it ends. */
    @Test
    void moveWhenTheHeadOfAnyTellsOfTheDeparture() throws Exception {
      useLongLimits();
      configure(1, "k1");
      ScriptedServer.Script engine =
          (request, out, socket) -> {
            if (request.line().startsWith("POST /move/")) {
              boolean finalCopy = request.line().contains("/true");
              ScriptedServer.sendResponse(out, request, 200, LEAVING, "handle");
              if (finalCopy) {
                stopped.countDown();
              }
            } else if (request.headers().containsKey("memory")) {
              ScriptedServer.startStream(out, request);
              ScriptedServer.writeEvents(out, 4, 5);
              ScriptedServer.endStream(out);
            } else {
              String headers = heads.incrementAndGet() == 2 ? LEAVING : "";
              ScriptedServer.startStream(out, request, headers);
              ScriptedServer.writeEvents(out, 1, 3);
              written.incrementAndGet();
              stopped.await(20, TimeUnit.SECONDS);
              socket.close();
            }
          };
      ScriptedServer leaving = serve("model", engine);
      CompletableFuture<String> first = stream("r1");
      awaitEvents(1);
      CompletableFuture<String> second = stream("r2");
      awaitEvents(2);
      ScriptedServer target = serve("model", engine);

      assertThat(first.get(30, TimeUnit.SECONDS)).contains("data: t5");
      assertThat(second.get(30, TimeUnit.SECONDS)).contains("data: t5");
      assertThat(leaving.requests().stream().filter(line -> line.contains("/true")).count())
          .isEqualTo(2);
      assertThat(target.requests()).containsExactly("POST /stream/x", "POST /stream/x");
    }
  }
}
