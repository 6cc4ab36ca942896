package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.basilport.gateway.backend.ServerEntry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Moves streams to servers that cannot be reached. */
class GatewayMovedStreamsTest extends GatewayFixture {
  /** Runs that began at the beginning, at all servers. */
  private final AtomicInteger runs = new AtomicInteger();

  /** Counted down when the first server has written the first events. */
  private final CountDownLatch written = new CountDownLatch(1);

  private final CountDownLatch stopped = new CountDownLatch(1);

  /** Whether the source ends when it has stopped the generation. */
  private volatile boolean sourceEnded;

  GatewayMovedStreamsTest() {
    useLongLimits();
  }

  /** What happens to a target when it is asked to receive a copy. */
  private interface TargetFault {
    void onCopy(ScriptedServer target, boolean finalCopy) throws IOException;
  }

  private final class Engine implements ScriptedServer.Script {
    private final TargetFault fault;

    Engine(TargetFault fault) {
      this.fault = fault;
    }

    @Override
    public void respond(ScriptedServer.Request request, OutputStream out, Socket socket)
        throws IOException, InterruptedException {
      if (request.line().startsWith("POST /move/")) {
        copy(request, out);
      } else if (request.headers().containsKey("memory")) {
        ScriptedServer.startStream(out, request);
        ScriptedServer.writeEvents(out, 4, 5);
        ScriptedServer.endStream(out);
      } else {
        runs.incrementAndGet();
        ScriptedServer.startStream(out, request);
        ScriptedServer.writeEvents(out, 1, 3);
        written.countDown();
        stopped.await(20, TimeUnit.SECONDS);
        socket.close();
      }
    }

    private void copy(ScriptedServer.Request request, OutputStream out) throws IOException {
      boolean finalCopy = request.line().contains("/true");
      String address = request.headers().get("target");
      for (ScriptedServer server : servers) {
        if (address.endsWith(":" + server.port())) {
          fault.onCopy(server, finalCopy);
        }
      }
      // A continuation on a connection whose end the gateway has not read yet may have run.
      awaitChanges();
      if (finalCopy && sourceEnded) {
        // The answer must not arrive while the source still accepts the continuation.
        servers.get(0).stopAccepting();
      }
      ScriptedServer.sendResponse(out, request, 200, finalCopy ? "handle-1" : "handle-0");
      if (finalCopy) {
        stopped.countDown();
        if (sourceEnded) {
          servers.get(0).close();
        }
      }
    }
  }

  private String stream(String target) {
    try {
      return call("POST", target, "key: k1\r\ntokens: 100\r\n");
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Streams from an engine that leaves while two others could receive the generation. */
  private String streamFromALeavingEngine(String target, TargetFault fault) throws Exception {
    configure(1, "k1");
    Engine engine = new Engine(fault);
    serve("model", engine);
    CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> stream(target));
    awaitThreeEvents(target);
    serve("model", engine);
    serve("model", engine);
    gateway.updateServers(entries.subList(1, 3), "test");
    return response.get(30, TimeUnit.SECONDS);
  }

  /** Waits until the first server has written three events and the gateway receives them. */
  private void awaitThreeEvents(String target) {
    await(() -> written.getCount() == 0);
    awaitFirstEvents(target.replace("x", ""), 1);
  }

  private static void assertComplete(String response) {
    assertThat(response.replaceAll("(?s).*?(data: t\\d).*?", "$1 "))
        .startsWith("data: t1 data: t2 data: t3 data: t4 data: t5");
    assertThat(response).endsWith("0\r\n\r\n");
  }

  @Nested
  class TargetsThatLeave {
    private final AtomicReference<ScriptedServer> leaving = new AtomicReference<>();

    /** Reports the first target as leaving while it receives the first copy. */
    private void leave(ScriptedServer target, boolean finalCopy) {
      if (!finalCopy && leaving.compareAndSet(null, target)) {
        List<ServerEntry> listed = new ArrayList<>(entries.subList(1, 3));
        listed.replaceAll(entry -> entry.port() == target.port() ? leaving(entry) : entry);
        gateway.updateServers(listed, "test");
      }
    }

    /** Guards against a move to an engine that leaves, or wants no requests, since its choice. */
    @Test
    void areReplacedBeforeTheGenerationStops() throws Exception {
      String response = streamFromALeavingEngine("/stream/x", this::leave);

      assertComplete(response);
      assertThat(leaving.get().requests()).isEmpty();
    }
  }

  @Nested
  class StreamsThatAreNotResumable {
    /** Guards against a second run of a generation that has stopped for its move. */
    @Test
    void doNotRunAgainIfTheTargetEndsDuringTheLastCopy() throws Exception {
      String response =
          streamFromALeavingEngine(
              "/stream/x",
              (target, finalCopy) -> {
                if (finalCopy) {
                  target.close();
                }
              });

      assertThat(runs.get()).isEqualTo(1);
      assertComplete(response);
    }

    /** Guards against a second run after a copy to a server that this instance cannot reach. */
    @Test
    void doNotRunAgainIfTheTargetRefusesConnections() throws Exception {
      AtomicInteger copies = new AtomicInteger();
      String response =
          streamFromALeavingEngine(
              "/stream/x",
              (target, finalCopy) -> {
                if (copies.getAndIncrement() == 0) {
                  target.close();
                }
              });

      assertThat(runs.get()).isEqualTo(1);
      assertComplete(response);
    }

    /** Guards against a second run when neither the copy nor its source can be reached. */
    @Test
    void doNotRunAgainIfTargetAndSourceHaveEnded() throws Exception {
      String response =
          streamFromALeavingEngine(
              "/stream/x",
              (target, finalCopy) -> {
                if (finalCopy) {
                  target.close();
                  sourceEnded = true;
                }
              });

      assertThat(runs.get()).isEqualTo(1);
      assertThat(response).doesNotContain("\r\n0\r\n");
    }
  }

  @Nested
  class ResumableStreams {
    /** Guards against giving up a stream that another server may resume after its last event. */
    @Test
    void goOnAfterTheLastEventIfTargetAndSourceHaveEnded() throws Exception {
      List<String> after = new CopyOnWriteArrayList<>();
      configure(1, "k1");
      ScriptedServer.Script last =
          (request, out, socket) -> {
            after.add(request.headers().getOrDefault("after", ""));
            ScriptedServer.startStream(out, request);
            ScriptedServer.writeEvents(out, 4, 5);
            ScriptedServer.endStream(out);
          };
      Engine engine =
          new Engine(
              (target, finalCopy) -> {
                if (finalCopy) {
                  target.close();
                  servers.get(0).stopAccepting();
                  serve("model", last);
                  gateway.updateServers(entries.subList(1, 3), "test");
                }
              });
      serve("model", engine);
      CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> stream("/resume/x"));
      awaitThreeEvents("/resume/x");
      serve("model", engine);
      gateway.updateServers(entries.subList(1, 2), "test");

      assertComplete(response.get(30, TimeUnit.SECONDS));
      assertThat(after).containsExactly("3");
    }
  }

  @Nested
  class StreamsThatFinishDuringTheirMove {
    /** Ends the stream around the last copy; a status of 0 closes the connection of the copy. */
    private String finish(boolean endFirst, int status, String body) throws Exception {
      CountDownLatch ended = new CountDownLatch(1);
      CountDownLatch answered = new CountDownLatch(1);
      configure(1, "k1");
      serve(
          "model",
          (request, out, socket) -> {
            if (request.line().startsWith("POST /move/")) {
              boolean finalCopy = request.line().contains("/true");
              if (finalCopy) {
                stopped.countDown();
                if (endFirst) {
                  ended.await(20, TimeUnit.SECONDS);
                  Thread.sleep(30);
                }
              }
              if (finalCopy && status == 0) {
                socket.close();
              } else {
                ScriptedServer.sendResponse(
                    out, request, finalCopy ? status : 200, finalCopy ? body : "handle-0");
              }
              if (finalCopy) {
                Thread.sleep(30);
                answered.countDown();
              }
              return;
            }
            runs.incrementAndGet();
            ScriptedServer.startStream(out, request);
            ScriptedServer.writeEvents(out, 1, 3);
            written.countDown();
            stopped.await(20, TimeUnit.SECONDS);
            ScriptedServer.writeEvents(out, 4, 5);
            if (!endFirst) {
              answered.await(20, TimeUnit.SECONDS);
            }
            ScriptedServer.endStream(out);
            ended.countDown();
          });
      CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> stream("/stream/x"));
      awaitThreeEvents("/stream/x");
      serve("model", (request, out, socket) -> runs.incrementAndGet());
      gateway.updateServers(entries.subList(1, 2), "test");
      return response.get(30, TimeUnit.SECONDS);
    }

    private void assertDelivered(boolean endFirst, int status, String body) throws Exception {
      String response = finish(endFirst, status, body);
      assertThat(runs.get()).isEqualTo(1);
      assertComplete(response);
    }

    /** Guards against the reset of a finished stream whose last copy finds no run. */
    @Test
    void areDeliveredIfTheRunEndsBeforeTheLastCopy() throws Exception {
      assertDelivered(true, 404, "");
    }

    /** Guards against the reset of a finished stream whose last copy is refused afterwards. */
    @Test
    void areDeliveredIfTheLastCopyIsRefusedAfterTheirEnd() throws Exception {
      assertDelivered(true, 503, "");
    }

    /** Guards against the reset of a finished stream whose last copy has no answer. */
    @Test
    void areDeliveredIfTheLastCopyHasNoAnswer() throws Exception {
      assertDelivered(true, 0, "");
    }

    /** Guards against the reset of a stream that ends after its last copy was refused. */
    @Test
    void areDeliveredIfTheyEndAfterTheRefusalOfTheLastCopy() throws Exception {
      assertDelivered(false, 404, "");
    }

    /** Guards against the continuation of a stream that its source has ended. */
    @Test
    void areDeliveredIfTheLastCopySucceedsAfterTheirEnd() throws Exception {
      assertDelivered(true, 200, "handle-1");
    }

    /** Guards against the continuation of a stream whose end follows its last copy. */
    @Test
    void areDeliveredIfTheyEndAfterTheLastCopy() throws Exception {
      assertDelivered(false, 200, "handle-1");
    }
  }
}
