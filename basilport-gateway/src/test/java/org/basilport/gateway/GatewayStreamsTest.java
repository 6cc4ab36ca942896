package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.Sets;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.gateway.peer.InstanceEntry;
import org.basilport.policy.dispatch.CellPartition;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Sends streaming requests through a gateway to scripted servers. */
class GatewayStreamsTest extends GatewayFixture {
  GatewayStreamsTest() {
    useLongLimits();
  }

  @Nested
  class Streams {
    /** Guards against lost or duplicated tokens when a server fails within an event. */
    @Test
    void resumesAfterTheLastCompleteEvent() throws Exception {
      configure(1, "k1");
      ScriptedServer.Script script =
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            if (!request.headers().containsKey("after")) {
              ScriptedServer.writeEvents(out, 1, 2);
              ScriptedServer.write(out, "5\r\nid: 3\r\n");
              Thread.sleep(50);
              socket.close();
              return;
            }
            assertThat(request.headers()).containsEntry("after", "2");
            ScriptedServer.writeEvents(out, 3, 4);
            ScriptedServer.endStream(out);
          };
      serve("model", script);
      serve("model", script);
      String response = call("POST", "/resume/x", "key: k1\r\ntokens: 100\r\n");

      assertThat(response.replaceAll("(?s).*?(data: t\\d).*?", "$1 "))
          .startsWith("data: t1 data: t2 data: t3 data: t4");
      assertThat(response).endsWith("0\r\n\r\n");
    }

    /**
     * Guards against joining two executions, and against a truncated stream that appears complete.
     */
    @Test
    void abortsANonResumableStream() throws Exception {
      configure(1, "k1");
      serve(
          "model",
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            ScriptedServer.writeEvents(out, 1, 2);
            Thread.sleep(50);
            socket.close();
          });
      ScriptedServer second =
          serve(
              "model",
              (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, ""));
      gateway.updateServers(entries.subList(0, 1), "test");
      String response = call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n");

      assertThat(response).doesNotContain("\r\n0\r\n");
      assertThat(second.requests()).isEmpty();
    }

    /** Guards against the head of a refusal in the middle of a stream that cannot be resumed. */
    @Test
    void abortsAStartedStreamThatNoServerCanResume() throws Exception {
      configure(1, "k1");
      ScriptedServer.Script script =
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            ScriptedServer.writeEvents(out, 1, 2);
            awaitFirstEvents("/resume/", 1);
            gateway.updateServers(List.of(), "test");
            awaitChanges();
            socket.close();
          };
      serve("model", script);
      StringBuilder response = new StringBuilder();
      try (Socket socket = new Socket(frontend.getAddress(), frontend.getPort())) {
        // Shorter than the limits of the route, which would end the stream too.
        socket.setSoTimeout(10_000);
        socket
            .getOutputStream()
            .write(
                "POST /resume/x HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: k1\r\ntokens: 100\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
        InputStream in = socket.getInputStream();
        assertThrows(
            SocketException.class,
            () -> {
              for (int next = in.read(); next >= 0; next = in.read()) {
                response.append((char) next);
              }
            });
      }

      assertThat(response.toString()).contains("data: t2");
      assertThat(response.toString()).doesNotContain("503");
    }

    /** Guards against executing a generation at another engine after its engine crashed. */
    @Test
    void doesNotRetryAGenerationWhoseEngineCrashed() throws Exception {
      configure(1, "k1");
      ScriptedServer.Script script =
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            ScriptedServer.writeEvents(out, 1, 2);
            Thread.sleep(50);
            socket.close();
          };
      ScriptedServer first = serve("model", script);
      ScriptedServer second = serve("model", script);
      String response = call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n");

      assertThat(response).doesNotContain("\r\n0\r\n");
      List<String> allRequests = new ArrayList<>(first.requests());
      allRequests.addAll(second.requests());
      assertThat(allRequests).containsExactly("POST /stream/x");
    }

    /** Guards against continuing a move after its stream was resumed at another engine. */
    @Test
    void abandonsTheMoveOfAResumedStream() throws Exception {
      configure(1, "k1");
      CountDownLatch moving = new CountDownLatch(1);
      CountDownLatch resumed = new CountDownLatch(1);
      CountDownLatch answered = new CountDownLatch(1);
      ScriptedServer.Script script =
          (request, out, socket) -> {
            if (request.line().startsWith("POST /move/")) {
              moving.countDown();
              resumed.await(10, TimeUnit.SECONDS);
              Thread.sleep(100);
              ScriptedServer.sendResponse(out, request, 200, "handle");
              answered.countDown();
              return;
            }
            ScriptedServer.startStream(out, request);
            if (request.headers().containsKey("after")) {
              ScriptedServer.writeEvents(out, 3, 3);
              resumed.countDown();
              answered.await(10, TimeUnit.SECONDS);
              // A move that goes on would send its next request at once.
              Thread.sleep(400);
              ScriptedServer.writeEvents(out, 4, 4);
              ScriptedServer.endStream(out);
              return;
            }
            ScriptedServer.writeEvents(out, 1, 2);
            gateway.updateServers(
                entries.stream()
                    .filter(e -> !e.id().equals(request.headers().get("server")))
                    .toList(),
                "test");
            moving.await(10, TimeUnit.SECONDS);
            socket.close();
          };
      serve("model", script);
      serve("model", script);
      serve("model", script);
      String response = call("POST", "/resume/x", "key: k1\r\ntokens: 100\r\n");

      assertThat(response).contains("data: t4");
      assertThat(response).endsWith("0\r\n\r\n");
      long moves =
          servers.stream()
              .flatMap(server -> server.requests().stream())
              .filter(line -> line.startsWith("POST /move/"))
              .count();
      assertThat(moves).isEqualTo(1);
    }

    /** Guards against losing a generation because the engines of the own cell are full. */
    @Test
    void movesAGenerationToAnEngineOfAnotherCell() throws Exception {
      configure(1, "k1");
      CountDownLatch written = new CountDownLatch(1);
      CountDownLatch stop = new CountDownLatch(1);
      Set<String> targets = ConcurrentHashMap.newKeySet();
      for (int i = 0; i < 8; i++) {
        serve(
            "model",
            (request, out, socket) -> {
              if (request.line().startsWith("POST /move/")) {
                boolean hasCapacity = targets.contains(request.headers().get("target"));
                boolean finalCopy = request.line().contains("/true");
                if (hasCapacity && finalCopy) {
                  stop.countDown();
                  Thread.sleep(30);
                }
                ScriptedServer.sendResponse(
                    out, request, hasCapacity ? 200 : 503, hasCapacity ? "h" : "");
                return;
              }
              ScriptedServer.startStream(out, request);
              if (request.headers().containsKey("memory")) {
                ScriptedServer.writeEvents(out, 4, 5);
                ScriptedServer.endStream(out);
              } else {
                ScriptedServer.writeEvents(out, 1, 3);
                written.countDown();
                stop.await(20, TimeUnit.SECONDS);
                socket.close();
              }
            });
      }
      Set<String> engines = entries.stream().map(ServerEntry::id).collect(Collectors.toSet());
      Set<String> fleet = fleetWithUnusedEngines(3, engines);
      Set<String> unused = unusedEngines(fleet, engines);
      entries.stream()
          .filter(entry -> unused.contains(entry.id()))
          .forEach(entry -> targets.add(entry.address()));
      gateway.updateInstances(
          fleet.stream()
              .map(id -> new InstanceEntry(id, new InetSocketAddress("127.0.0.1", 9)))
              .toList());
      awaitChanges();
      CompletableFuture<Void> leaving =
          CompletableFuture.runAsync(
              () -> {
                await(() -> written.getCount() == 0);
                awaitFirstEvents("/stream/", 1);
                removeUsedEngine();
              });
      String response = call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n");
      leaving.get(20, TimeUnit.SECONDS);

      assertThat(response).contains("data: t5");
      assertThat(response).endsWith("0\r\n\r\n");
    }

    /** Removes the only engine that has received a request from the list. */
    private void removeUsedEngine() {
      List<ServerEntry> remaining = new ArrayList<>();
      for (int i = 0; i < servers.size(); i++) {
        if (servers.get(i).requests().isEmpty()) {
          remaining.add(entries.get(i));
        }
      }
      gateway.updateServers(remaining, "test");
    }

    /** Instances among which the gateway's cell does not use some of the engines. */
    private Set<String> fleetWithUnusedEngines(int count, Set<String> engines) {
      for (int fleet = 0; ; fleet++) {
        Set<String> instances = new HashSet<>(Set.of("gateway-1"));
        for (int i = 0; i < 37; i++) {
          instances.add("fleet-" + fleet + "-" + i);
        }
        if (unusedEngines(instances, engines).size() >= count) {
          return instances;
        }
      }
    }

    /**
     * Engines that the gateway's cell uses neither now nor after the departure of one of its
     * engines.
     */
    private Set<String> unusedEngines(Set<String> instances, Set<String> engines) {
      Set<String> unused = new HashSet<>(engines);
      unused.removeAll(usedEngines(instances, engines));
      for (String departed : usedEngines(instances, engines)) {
        unused.removeAll(usedEngines(instances, Sets.difference(engines, Set.of(departed))));
      }
      return unused;
    }

    private Set<String> usedEngines(Set<String> instances, Set<String> engines) {
      CellPartition cells = new CellPartition(instances, engines);
      return engines.stream()
          .filter(id -> cells.cellsOfEngine(id).contains(cells.cellOf("gateway-1")))
          .collect(Collectors.toSet());
    }

    /** Guards against losing a generation whose engine announced its departure. */
    @Test
    void movesAGenerationFromALeavingEngine() throws Exception {
      configure(1, "k1");
      CountDownLatch written = new CountDownLatch(1);
      CountDownLatch stop = new CountDownLatch(1);
      ScriptedServer source =
          serve(
              "model",
              (request, out, socket) -> {
                if (request.line().startsWith("POST /move/")) {
                  boolean finalCopy = request.line().contains("/true");
                  if (finalCopy) {
                    stop.countDown();
                    Thread.sleep(30);
                  }
                  ScriptedServer.sendResponse(
                      out, request, 200, finalCopy ? "handle-1" : "handle-0");
                  return;
                }
                ScriptedServer.startStream(out, request);
                ScriptedServer.writeEvents(out, 1, 3);
                written.countDown();
                stop.await(20, TimeUnit.SECONDS);
                socket.close();
              });
      Thread leaving =
          new Thread(
              () -> {
                try {
                  await(() -> written.getCount() == 0);
                  awaitFirstEvents("/stream/", 1);
                  serve(
                      "model",
                      (request, out, socket) -> {
                        assertThat(request.headers()).containsEntry("memory", "handle-1");
                        ScriptedServer.startStream(out, request);
                        ScriptedServer.writeEvents(out, 4, 5);
                        ScriptedServer.endStream(out);
                      });
                  gateway.updateServers(entries.subList(1, 2), "test");
                } catch (IOException e) {
                  throw new IllegalStateException(e);
                }
              });
      leaving.start();
      String response = call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n");

      assertThat(response).contains("data: t5");
      assertThat(response).endsWith("0\r\n\r\n");
      assertThat(source.requests())
          .containsExactly("POST /stream/x", "POST /move/r1/false", "POST /move/r1/true")
          .inOrder();
    }
  }
}
