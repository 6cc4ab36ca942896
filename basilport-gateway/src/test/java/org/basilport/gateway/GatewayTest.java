package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.Sets;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.basilport.event.EventSink;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.gateway.config.EngineCapacity;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.config.Repeatability;
import org.basilport.gateway.config.TrafficLimits;
import org.basilport.gateway.config.WeightedService;
import org.basilport.gateway.forward.TrafficState.RetryLimits;
import org.basilport.gateway.peer.InstanceEntry;
import org.basilport.policy.dispatch.FleetCells;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Sends requests through a gateway to scripted servers. */
class GatewayTest {
  private static final EngineCapacity ENGINE = new EngineCapacity(24, 34_000, 4, 10, true);

  private static final int NARROW_CONNECTIONS = 3;

  private final List<ScriptedServer> servers = new ArrayList<>();
  private final List<ServerEntry> entries = new ArrayList<>();
  private Gateway gateway;
  private InetSocketAddress frontend;

  @BeforeEach
  void start() throws Exception {
    frontend = freeAddress();
    GatewaySettings settings =
        new GatewaySettings(
            "gateway-1",
            "a",
            false,
            frontend,
            freeAddress(),
            new RetryLimits(0.2, 50, TimeUnit.SECONDS.toNanos(10)),
            Duration.ofSeconds(4),
            Duration.ofSeconds(3),
            Duration.ofMillis(800));
    gateway = new Gateway(settings, new TestCodec(), EventSink.none(), new MetricRegistry());
    gateway.start().get(5, TimeUnit.SECONDS);
  }

  @AfterEach
  void stop() throws Exception {
    gateway.stop().get(5, TimeUnit.SECONDS);
    for (ScriptedServer server : servers) {
      server.close();
    }
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  private static ForwardingRoute route(String prefix, String service, Repeatability kind) {
    return new ForwardingRoute(
        prefix,
        "h",
        prefix,
        kind,
        Duration.ofMillis(1_500),
        Duration.ofMillis(150),
        2,
        0,
        false,
        List.of(new WeightedService(service, 1)));
  }

  private void configure(long version, String... keys) {
    Map<String, KeyHolder> holders = new java.util.HashMap<>();
    for (String key : keys) {
      holders.put(key, new KeyHolder("workspace-1", -1));
    }
    gateway.applyConfiguration(
        new ForwardingConfiguration(
            version,
            TrafficLimits.INITIAL,
            List.of(
                route("/read/", "plain", Repeatability.IDEMPOTENT),
                route("/write/", "plain", Repeatability.AT_MOST_ONCE),
                route("/narrow/", "narrow", Repeatability.IDEMPOTENT),
                route("/stream/", "model", Repeatability.STREAM),
                route("/resume/", "model", Repeatability.RESUMABLE_STREAM)),
            Map.of(
                "plain", new ForwardingService("plain", 10, Optional.empty()),
                "narrow", new ForwardingService("narrow", NARROW_CONNECTIONS, Optional.empty()),
                "model", new ForwardingService("model", 10, Optional.of(ENGINE))),
            true,
            holders),
        "test");
    gateway.proveFresh(System.nanoTime(), System.currentTimeMillis());
  }

  private ScriptedServer serve(String service, ScriptedServer.Script script) throws IOException {
    ScriptedServer server = new ScriptedServer(script);
    servers.add(server);
    entries.add(
        new ServerEntry(
            "server-" + servers.size(),
            1,
            service,
            "127.0.0.1",
            server.port(),
            "a",
            6,
            false,
            Duration.ZERO));
    gateway.updateServers(entries, "test");
    return server;
  }

  private String call(String method, String target, String headers) throws IOException {
    try (Socket socket = new Socket(frontend.getAddress(), frontend.getPort())) {
      socket.setSoTimeout(5_000);
      socket
          .getOutputStream()
          .write(
              (method
                      + " "
                      + target
                      + " HTTP/1.1\r\nhost: h\r\nid: r1\r\nConnection: close\r\n"
                      + headers
                      + "\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (java.net.SocketException e) {
      return "reset";
    }
  }

  @Nested
  class Refusals {
    /** Guards against a final refusal by an instance that knows no configuration yet. */
    @Test
    void answers503BeforeTheFirstConfiguration() throws Exception {
      assertThat(call("GET", "/read/x", "key: k1\r\n")).startsWith("HTTP/1.1 503");
    }

    /** Guards against requests without a valid key or route. */
    @Test
    void answers401And404() throws Exception {
      configure(1, "k1");
      assertThat(call("GET", "/read/x", "key: wrong\r\n")).startsWith("HTTP/1.1 401");
      assertThat(call("GET", "/none/x", "key: k1\r\n")).startsWith("HTTP/1.1 404");
    }

    /** Guards against a configuration that goes back to an older version. */
    @Test
    void neverAdoptsAnOlderVersion() throws Exception {
      configure(5, "k5");
      configure(4, "k4");
      assertThat(call("GET", "/none/x", "key: k4\r\n")).startsWith("HTTP/1.1 404");
      assertThat(call("GET", "/read/x", "key: k4\r\n")).startsWith("HTTP/1.1 401");
    }

    /** Guards against a request that waits for its time limit although nobody can serve it. */
    @Test
    void refusesAtOnceWithoutServers() throws Exception {
      configure(1, "k1");
      long start = System.nanoTime();
      String answer = call("POST", "/write/x", "key: k1\r\n");

      assertThat(answer).startsWith("HTTP/1.1 503");
      assertThat(answer).contains("retry-after");
      assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(400));
    }
  }

  @Nested
  class PlainCalls {
    /** Guards against a failure that a second server could have answered. */
    @Test
    void repeatsIdempotentRequests() throws Exception {
      configure(1, "k1");
      serve("plain", (request, out, socket) -> socket.close());
      serve("plain", (request, out, socket) -> ScriptedServer.answer(out, request, 200, "ok"));
      for (int i = 0; i < 5; i++) {
        assertThat(call("GET", "/read/x", "key: k1\r\n")).contains("ok");
      }
    }

    /** Guards against a server that accepts requests and never answers. */
    @Test
    void repeatsIdempotentRequestsThatAreNotAnswered() throws Exception {
      configure(1, "k1");
      serve("plain", (request, out, socket) -> Thread.sleep(5_000));
      serve("plain", (request, out, socket) -> ScriptedServer.answer(out, request, 200, "ok"));
      for (int i = 0; i < 3; i++) {
        assertThat(call("GET", "/read/x", "key: k1\r\n")).contains("ok");
      }
    }

    /** Guards against connections beyond those that a server accepts, which it resets. */
    @Test
    void keepsToTheConnectionsThatAServerAccepts() throws Exception {
      configure(1, "k1");
      AtomicInteger open = new AtomicInteger();
      AtomicInteger mostOpen = new AtomicInteger();
      serve(
          "narrow",
          (request, out, socket) -> {
            mostOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
            Thread.sleep(60);
            open.decrementAndGet();
            ScriptedServer.answer(out, request, 200, "ok");
          });
      List<CompletableFuture<String>> answers = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        answers.add(
            CompletableFuture.supplyAsync(
                () -> {
                  try {
                    return call("GET", "/narrow/x", "key: k1\r\n");
                  } catch (IOException e) {
                    throw new UncheckedIOException(e);
                  }
                }));
      }
      for (CompletableFuture<String> answer : answers) {
        answer.get(5, TimeUnit.SECONDS);
      }
      assertThat(mostOpen.get()).isAtMost(NARROW_CONNECTIONS);
    }

    /** Guards against a request that takes down one server after another. */
    @Test
    void refusesARequestThatCrashedThreeServers() throws Exception {
      configure(1, "k1");
      List<ScriptedServer> crashed = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        int index = i;
        crashed.add(
            serve(
                "plain",
                (request, out, socket) -> {
                  crashed.get(index).close();
                  entries.removeIf(entry -> entry.port() == crashed.get(index).port());
                  gateway.updateServers(entries, "test");
                }));
      }
      int dead = 0;
      for (int i = 0; i < 6; i++) {
        call("POST", "/write/x", "key: k1\r\n");
        Thread.sleep(100);
        dead = 4 - entries.size();
      }

      assertThat(dead).isEqualTo(3);
      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 503");
    }

    /** Guards against a request that runs twice. */
    @Test
    void neverRepeatsARequestThatMayHaveRun() throws Exception {
      configure(1, "k1");
      ScriptedServer broken = serve("plain", (request, out, socket) -> socket.close());
      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 502");
      assertThat(broken.requests()).hasSize(1);
    }

    /** Guards against a refusal that a second server could have avoided. */
    @Test
    void sendsARequestElsewhereThatAServerRefusedToRun() throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) ->
              ScriptedServer.write(
                  out, "HTTP/1.1 503 S\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n"));
      serve("plain", (request, out, socket) -> ScriptedServer.answer(out, request, 200, "ok"));
      for (int i = 0; i < 5; i++) {
        assertThat(call("POST", "/write/x", "key: k1\r\n")).contains("ok");
      }
    }

    /** Guards against a success that carries no signature of the server. */
    @Test
    void passesOnNoUnsignedSuccess() throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) ->
              ScriptedServer.write(out, "HTTP/1.1 200 S\r\nid: r1\r\nContent-Length: 2\r\n\r\nok"));
      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 502");
    }

    /** Guards against callers that wait past the route's timeout. */
    @Test
    void answersAtTheTimeLimit() throws Exception {
      configure(1, "k1");
      serve("plain", (request, out, socket) -> Thread.sleep(5_000));
      long start = System.nanoTime();
      assertThat(call("POST", "/write/x", "key: k1\r\npatience: 300\r\n"))
          .startsWith("HTTP/1.1 504");
      assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(700));
    }
  }

  @Nested
  class Streams {
    /** Guards against a lost or doubled piece when a server breaks off within an event. */
    @Test
    void resumesAfterTheLastWholeEvent() throws Exception {
      configure(1, "k1");
      ScriptedServer.Script script =
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            if (!request.headers().containsKey("after")) {
              ScriptedServer.events(out, 1, 2);
              ScriptedServer.write(out, "5\r\nid: 3\r\n");
              Thread.sleep(50);
              socket.close();
              return;
            }
            assertThat(request.headers()).containsEntry("after", "2");
            ScriptedServer.events(out, 3, 4);
            ScriptedServer.endStream(out);
          };
      serve("model", script);
      serve("model", script);
      String answer = call("POST", "/resume/x", "key: k1\r\ntokens: 100\r\n");

      assertThat(answer.replaceAll("(?s).*?(data: t\\d).*?", "$1 "))
          .startsWith("data: t1 data: t2 data: t3 data: t4");
      assertThat(answer).endsWith("0\r\n\r\n");
    }

    /** Guards against two runs that are joined, and against a cut stream that looks complete. */
    @Test
    void breaksOffAStreamThatMustNotRunTwice() throws Exception {
      configure(1, "k1");
      serve(
          "model",
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            ScriptedServer.events(out, 1, 2);
            Thread.sleep(50);
            socket.close();
          });
      ScriptedServer second =
          serve("model", (request, out, socket) -> ScriptedServer.answer(out, request, 200, ""));
      gateway.updateServers(entries.subList(0, 1), "test");
      String answer = call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n");

      assertThat(answer).doesNotContain("\r\n0\r\n");
      assertThat(second.requests()).isEmpty();
    }

    /** Guards against a generation that goes on at a second engine after its own crashed. */
    @Test
    void neverContinuesElsewhereWhenTheEngineCrashes() throws Exception {
      configure(1, "k1");
      ScriptedServer.Script script =
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            ScriptedServer.events(out, 1, 2);
            Thread.sleep(50);
            socket.close();
          };
      ScriptedServer first = serve("model", script);
      ScriptedServer second = serve("model", script);
      String answer = call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n");

      assertThat(answer).doesNotContain("\r\n0\r\n");
      List<String> all = new ArrayList<>(first.requests());
      all.addAll(second.requests());
      assertThat(all).containsExactly("POST /stream/x");
    }

    /** Guards against a move that goes on after its stream was resumed at another engine. */
    @Test
    void forgetsTheMoveOfAStreamThatGoesOnElsewhere() throws Exception {
      configure(1, "k1");
      ScriptedServer.Script script =
          (request, out, socket) -> {
            if (request.line().startsWith("POST /move/")) {
              Thread.sleep(300);
              ScriptedServer.answer(out, request, 200, "handle");
              return;
            }
            ScriptedServer.startStream(out, request);
            if (request.headers().containsKey("after")) {
              ScriptedServer.events(out, 3, 3);
              Thread.sleep(600);
              ScriptedServer.events(out, 4, 4);
              ScriptedServer.endStream(out);
              return;
            }
            ScriptedServer.events(out, 1, 2);
            gateway.updateServers(
                entries.stream()
                    .filter(e -> !e.id().equals(request.headers().get("server")))
                    .toList(),
                "test");
            Thread.sleep(100);
            socket.close();
          };
      serve("model", script);
      serve("model", script);
      serve("model", script);
      String answer = call("POST", "/resume/x", "key: k1\r\ntokens: 100\r\n");

      assertThat(answer).contains("data: t4");
      assertThat(answer).endsWith("0\r\n\r\n");
      long moves =
          servers.stream()
              .flatMap(server -> server.requests().stream())
              .filter(line -> line.startsWith("POST /move/"))
              .count();
      assertThat(moves).isEqualTo(1);
    }

    /** Guards against a generation that is lost because the engines of its own cell are full. */
    @Test
    void movesAGenerationToAnEngineOfAnotherCell() throws Exception {
      configure(1, "k1");
      CountDownLatch stop = new CountDownLatch(1);
      Set<String> targets = ConcurrentHashMap.newKeySet();
      for (int i = 0; i < 8; i++) {
        serve(
            "model",
            (request, out, socket) -> {
              if (request.line().startsWith("POST /move/")) {
                boolean room = targets.contains(request.headers().get("target"));
                boolean last = request.line().contains("/true");
                if (room && last) {
                  stop.countDown();
                  Thread.sleep(30);
                }
                ScriptedServer.answer(out, request, room ? 200 : 503, room ? "h" : "");
                return;
              }
              ScriptedServer.startStream(out, request);
              if (request.headers().containsKey("memory")) {
                ScriptedServer.events(out, 4, 5);
                ScriptedServer.endStream(out);
              } else {
                ScriptedServer.events(out, 1, 3);
                stop.await(5, TimeUnit.SECONDS);
                socket.close();
              }
            });
      }
      Set<String> engines = entries.stream().map(ServerEntry::id).collect(Collectors.toSet());
      Set<String> fleet = fleetThatLeaves(3, engines);
      Set<String> unused = unused(fleet, engines);
      entries.stream()
          .filter(entry -> unused.contains(entry.id()))
          .forEach(entry -> targets.add(entry.address()));
      gateway.updateInstances(
          fleet.stream()
              .map(id -> new InstanceEntry(id, new InetSocketAddress("127.0.0.1", 9)))
              .toList());
      Thread.sleep(100);
      CompletableFuture<Void> leaving =
          CompletableFuture.runAsync(
              () -> {
                int source = 0;
                while (servers.get(source).requests().isEmpty()) {
                  source = (source + 1) % servers.size();
                }
                List<ServerEntry> remaining = new ArrayList<>(entries);
                remaining.remove(source);
                gateway.updateServers(remaining, "test");
              });
      String answer = call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n");
      leaving.get(5, TimeUnit.SECONDS);

      assertThat(answer).contains("data: t5");
      assertThat(answer).endsWith("0\r\n\r\n");
    }

    /** A fleet in which the gateway's cell leaves some engines to others. */
    private Set<String> fleetThatLeaves(int count, Set<String> engines) {
      for (int fleet = 0; ; fleet++) {
        Set<String> instances = new HashSet<>(Set.of("gateway-1"));
        for (int i = 0; i < 37; i++) {
          instances.add("fleet-" + fleet + "-" + i);
        }
        if (unused(instances, engines).size() >= count) {
          return instances;
        }
      }
    }

    /** Engines that the gateway's cell uses neither now nor after the departure of one it uses. */
    private Set<String> unused(Set<String> instances, Set<String> engines) {
      Set<String> unused = new HashSet<>(engines);
      unused.removeAll(used(instances, engines));
      for (String left : used(instances, engines)) {
        unused.removeAll(used(instances, Sets.difference(engines, Set.of(left))));
      }
      return unused;
    }

    private Set<String> used(Set<String> instances, Set<String> engines) {
      FleetCells cells = new FleetCells(instances, engines);
      return engines.stream()
          .filter(id -> cells.cellsOfEngine(id).contains(cells.cellOf("gateway-1")))
          .collect(Collectors.toSet());
    }

    /** Guards against a generation that is lost with an engine that announced its departure. */
    @Test
    void movesAGenerationFromALeavingEngine() throws Exception {
      configure(1, "k1");
      java.util.concurrent.CountDownLatch stop = new java.util.concurrent.CountDownLatch(1);
      ScriptedServer source =
          serve(
              "model",
              (request, out, socket) -> {
                if (request.line().startsWith("POST /move/")) {
                  boolean last = request.line().contains("/true");
                  if (last) {
                    stop.countDown();
                    Thread.sleep(30);
                  }
                  ScriptedServer.answer(out, request, 200, last ? "handle-1" : "handle-0");
                  return;
                }
                ScriptedServer.startStream(out, request);
                ScriptedServer.events(out, 1, 3);
                stop.await(5, TimeUnit.SECONDS);
                socket.close();
              });
      Thread leaving =
          new Thread(
              () -> {
                try {
                  Thread.sleep(200);
                  serve(
                      "model",
                      (request, out, socket) -> {
                        assertThat(request.headers()).containsEntry("memory", "handle-1");
                        ScriptedServer.startStream(out, request);
                        ScriptedServer.events(out, 4, 5);
                        ScriptedServer.endStream(out);
                      });
                  gateway.updateServers(entries.subList(1, 2), "test");
                } catch (IOException | InterruptedException e) {
                  throw new IllegalStateException(e);
                }
              });
      leaving.start();
      String answer = call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n");

      assertThat(answer).contains("data: t5");
      assertThat(answer).endsWith("0\r\n\r\n");
      assertThat(source.requests())
          .containsExactly("POST /stream/x", "POST /move/r1/false", "POST /move/r1/true")
          .inOrder();
    }
  }
}
