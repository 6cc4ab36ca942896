package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventType;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.config.PlacementRules;
import org.basilport.gateway.config.Repeatability;
import org.basilport.gateway.config.WeightedService;
import org.basilport.gateway.forward.ForwardingLimits;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;
import org.basilport.misc.LoopbackPorts;
import org.basilport.policy.dispatch.StoreRead;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Routes and workspaces with home regions. The gateway is in data centre {@code a} of region {@code
 * r1}, and its data centre {@code unknown} has no region.
 */
class GatewayHomeRegionsTest extends GatewayFixture {
  private static final int CALLS = 12;
  private static final String UNAVAILABLE = "no backend server in an allowed region";

  private final MetricRegistry metrics = new MetricRegistry();
  private final List<EventType> events = new CopyOnWriteArrayList<>();

  @BeforeEach
  void startWithRegions() throws Exception {
    gateway.stop().get(5, TimeUnit.SECONDS);
    frontend = LoopbackPorts.freeAddress();
    gateway =
        new Gateway(
            new GatewaySettings(
                "gateway-1",
                "a",
                false,
                frontend,
                LoopbackPorts.freeAddress(),
                new RetryLimits(0.2, 50, TimeUnit.SECONDS.toNanos(10)),
                Duration.ofSeconds(3),
                new ForwardingLimits(MAX_PROOF_AGE, Duration.ofMillis(800), Duration.ofSeconds(2)),
                new PlacementRules(
                    Optional.empty(), Optional.empty(), "r1", Map.of("a", "r1", "b", "r2"))),
            new TestCodec(),
            (type, subject, arguments) -> events.add(type),
            metrics);
    gateway.start().get(5, TimeUnit.SECONDS);
  }

  private static ForwardingRoute route(
      String prefix, String service, Repeatability repeatability, List<String> regions) {
    return new ForwardingRoute(
        prefix,
        "h",
        prefix,
        repeatability,
        Duration.ofSeconds(20),
        Duration.ofSeconds(10),
        Duration.ofMillis(200),
        3,
        0,
        false,
        List.of(new WeightedService(service, 1)),
        regions);
  }

  private void configure(List<String> routeRegions, List<String> workspaceRegions) {
    gateway.applyConfiguration(
        new ForwardingConfiguration(
            1,
            FrontendLimits.INITIAL,
            List.of(
                route("/read/", "plain", Repeatability.IDEMPOTENT, routeRegions),
                route("/narrow/", "narrow", Repeatability.IDEMPOTENT, routeRegions),
                route("/resume/", "model", Repeatability.RESUMABLE_STREAM, routeRegions)),
            Map.of(
                "plain", new ForwardingService("plain", 10, Optional.empty()),
                "narrow", new ForwardingService("narrow", 1, Optional.empty()),
                "model", new ForwardingService("model", 10, Optional.of(ENGINE))),
            true,
            Map.of("k1", new KeyHolder("workspace-1", -1, workspaceRegions))),
        "test");
    gateway.recordConfigurationRead(
        new StoreRead(0, System.nanoTime(), System.currentTimeMillis()));
  }

  private ScriptedServer serveIn(String dataCentre, String service, ScriptedServer.Script script)
      throws IOException {
    ScriptedServer server = new ScriptedServer(script);
    servers.add(server);
    entries.add(
        new ServerEntry(
            "server-" + servers.size(),
            1,
            service,
            "v1",
            "127.0.0.1",
            server.port(),
            dataCentre,
            6,
            false,
            Duration.ZERO));
    gateway.updateServers(List.copyOf(entries), "test");
    return server;
  }

  private static void answer(ScriptedServer.Request request, OutputStream out, Socket socket)
      throws IOException {
    ScriptedServer.sendResponse(out, request, 200, "ok");
  }

  private String read(int number) throws IOException {
    return callAs("r" + number, "GET", "/read/x", "key: k1\r\n");
  }

  private CompletableFuture<String> callLater(String id, String method, String target) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return receivedBy(id, method, target, "key: k1\r\ntokens: 100\r\n");
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private long rejected() {
    return metrics.counter("regions.rejected").getCount();
  }

  @Nested
  class Calls {
    /** Guards against a request that leaves the home regions of its route. */
    @Test
    void reachOnlyServersOfTheRoutesRegions() throws Exception {
      configure(List.of("r2"), List.of());
      final ScriptedServer near = serveIn("a", "plain", GatewayHomeRegionsTest::answer);
      final ScriptedServer unknown = serveIn("unknown", "plain", GatewayHomeRegionsTest::answer);
      final ScriptedServer home = serveIn("b", "plain", GatewayHomeRegionsTest::answer);

      for (int i = 0; i < CALLS; i++) {
        assertThat(read(i)).startsWith("HTTP/1.1 200");
      }
      assertThat(home.requests()).hasSize(CALLS);
      assertThat(near.requests()).isEmpty();
      assertThat(unknown.requests()).isEmpty();
    }

    /** Guards against a repetition outside the home regions after a failure within them. */
    @Test
    void areNotRepeatedInAnotherRegion() throws Exception {
      configure(List.of(), List.of("r2"));
      final ScriptedServer near = serveIn("a", "plain", GatewayHomeRegionsTest::answer);
      serveIn(
          "b",
          "plain",
          (request, out, socket) -> ScriptedServer.sendResponse(out, request, 500, "failed"));

      assertThat(read(1)).startsWith("HTTP/1.1 500");
      assertThat(near.requests()).isEmpty();
    }

    /** Guards against a request that waits, or is sent, although no allowed region has a server. */
    @Test
    void areRejectedWithoutAServerInACommonRegion() throws Exception {
      configure(List.of("r1"), List.of("r2"));
      final ScriptedServer near = serveIn("a", "plain", GatewayHomeRegionsTest::answer);
      final ScriptedServer home = serveIn("b", "plain", GatewayHomeRegionsTest::answer);

      String response = read(1);
      assertThat(response).startsWith("HTTP/1.1 503");
      assertThat(response).contains("retry-after: ");
      assertThat(response).contains(UNAVAILABLE);
      assertThat(near.requests()).isEmpty();
      assertThat(home.requests()).isEmpty();
      assertThat(rejected()).isEqualTo(1);
    }

    /** Guards against a request that waits for a server although the last allowed one leaves. */
    @Test
    void areRejectedWhileTheyWaitForTheLastServerOfARegion() throws Exception {
      configure(List.of("r2"), List.of());
      CountDownLatch busy = new CountDownLatch(1);
      final ScriptedServer near = serveIn("a", "narrow", GatewayHomeRegionsTest::answer);
      ScriptedServer home =
          serveIn(
              "b",
              "narrow",
              (request, out, socket) -> {
                busy.await(10, TimeUnit.SECONDS);
                answer(request, out, socket);
              });
      final CompletableFuture<String> running = callLater("q1", "GET", "/narrow/x");
      await(() -> home.requests().size() == 1);
      final CompletableFuture<String> waiting = callLater("q2", "GET", "/narrow/x");
      await(() -> metrics.getGauges().get("forward.waiting").getValue().equals(1));
      entries.set(1, leaving(entries.get(1)));
      gateway.updateServers(List.copyOf(entries), "test");

      assertThat(waiting.get(10, TimeUnit.SECONDS)).contains(UNAVAILABLE);
      busy.countDown();
      assertThat(running.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
      assertThat(near.requests()).isEmpty();
    }

    /** Guards against other decisions where nothing restricts the regions. */
    @Test
    void reachAllServersWithoutHomeRegions() throws Exception {
      configure(List.of(), List.of());
      serveIn("unknown", "plain", GatewayHomeRegionsTest::answer);

      assertThat(read(1)).startsWith("HTTP/1.1 200");
      assertThat(rejected()).isEqualTo(0);
    }
  }

  @Nested
  class Streams {
    private final CountDownLatch ended = new CountDownLatch(1);

    private void respond(ScriptedServer.Request request, OutputStream out, Socket socket)
        throws IOException, InterruptedException {
      if (request.line().startsWith("POST /move/")) {
        ScriptedServer.sendResponse(out, request, 200, "handle");
        return;
      }
      boolean resumed = request.headers().containsKey("after");
      ScriptedServer.startStream(out, request);
      ScriptedServer.writeEvents(out, resumed ? 4 : 1, resumed ? 5 : 3);
      if (resumed) {
        ScriptedServer.endStream(out);
      } else {
        ended.await(10, TimeUnit.SECONDS);
        socket.close();
      }
    }

    private CompletableFuture<String> begin(ScriptedServer home) throws Exception {
      CompletableFuture<String> response = callLater("r1", "POST", "/resume/x");
      await(() -> home.requests().size() == 1);
      return response;
    }

    /** Guards against a resumption in another region, and against one that does not happen. */
    @Test
    void resumeOnlyInTheirRegions() throws Exception {
      configure(List.of("r2"), List.of());
      final ScriptedServer near = serveIn("a", "model", this::respond);
      ScriptedServer first = serveIn("b", "model", this::respond);
      CompletableFuture<String> response = begin(first);
      final ScriptedServer second = serveIn("b", "model", this::respond);
      await(() -> events.stream().filter(EventType.BACKEND_ADDED::equals).count() == 3);
      await(() -> metrics.histogram("forward.first_event_ms./resume/").getCount() == 1);
      ended.countDown();

      assertThat(response.get(10, TimeUnit.SECONDS)).contains("data: t5");
      assertThat(second.requests()).hasSize(1);
      assertThat(near.requests()).isEmpty();
    }

    /** Guards against a copy of a generation, which holds its prompt, in another region. */
    @Test
    void doNotMoveToAnotherRegion() throws Exception {
      configure(List.of("r2"), List.of());
      final ScriptedServer near = serveIn("a", "model", this::respond);
      ScriptedServer home = serveIn("b", "model", this::respond);
      final CompletableFuture<String> response = begin(home);
      entries.set(1, leaving(entries.get(1)));
      gateway.updateServers(List.copyOf(entries), "test");
      await(() -> events.contains(EventType.MOVE_FAILED));
      ended.countDown();

      assertThat(response.get(10, TimeUnit.SECONDS)).doesNotContain("data: t4");
      assertThat(home.requests()).containsExactly("POST /resume/x");
      assertThat(near.requests()).isEmpty();
    }
  }
}
