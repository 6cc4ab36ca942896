package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.basilport.event.EventSink;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.gateway.config.EngineCapacity;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.config.Repeatability;
import org.basilport.gateway.config.WeightedService;
import org.basilport.gateway.forward.ForwardingLimits;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;
import org.basilport.misc.LoopbackPorts;
import org.basilport.policy.dispatch.StoreRead;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Base class of tests that run a gateway with scripted servers. */
abstract class GatewayFixture {
  static final EngineCapacity ENGINE = new EngineCapacity(24, 34_000, 4, 10, true);

  static final int NARROW_CONNECTIONS = 3;

  /** Longer than a test takes on a slow machine, since most tests prove the keys only once. */
  static final Duration MAX_PROOF_AGE = Duration.ofSeconds(60);

  private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(20);

  /** Runs of a step whose duration is limited. */
  private static final int MAX_RUNS = 5;

  final List<ScriptedServer> servers = new CopyOnWriteArrayList<>();
  final List<ServerEntry> entries = new ArrayList<>();
  final MetricRegistry metrics = new MetricRegistry();
  int keyPriority = -1;

  /** Data centre of the servers that are started next. */
  String serverDataCentre = "a";

  int callerTimeoutMillis = 30_000;

  /** Time limit of the routes, from the next configuration on. */
  Duration routeTimeout = Duration.ofMillis(1_500);

  /** Target of the routes from which the time in a queue is derived. */
  Duration targetLatency = Duration.ofMillis(150);

  /** Target of the routes from which the limit of the gap between two events is derived. */
  Duration targetEventGap = Duration.ofMillis(90);

  /** Time in which a server that leaves may receive continuations, from the next start on. */
  Duration drainPeriod = Duration.ofSeconds(2);

  /** Key of a second workspace; all other keys belong to the first one. */
  String otherWorkspace = "";

  Gateway gateway;
  InetSocketAddress frontend;
  InetSocketAddress peerAddress;

  @BeforeEach
  void start() throws Exception {
    frontend = LoopbackPorts.freeAddress();
    peerAddress = LoopbackPorts.freeAddress();
    gateway = startGateway("gateway-1", frontend, peerAddress, metrics, drainPeriod);
  }

  /** Sets a limit of the time in a queue that a slow machine does not reach. */
  final void useLongQueueTimeout() {
    routeTimeout = Duration.ofSeconds(25);
    targetLatency = Duration.ofSeconds(20);
  }

  /** Sets limits of streams and moves that a slow machine does not reach. */
  final void useLongLimits() {
    routeTimeout = Duration.ofSeconds(25);
    targetEventGap = Duration.ofSeconds(3);
    drainPeriod = Duration.ofSeconds(25);
  }

  static Gateway startGateway(
      String id, InetSocketAddress frontend, InetSocketAddress peerAddress, MetricRegistry metrics)
      throws Exception {
    return startGateway(id, frontend, peerAddress, metrics, Duration.ofSeconds(2));
  }

  static Gateway startGateway(
      String id,
      InetSocketAddress frontend,
      InetSocketAddress peerAddress,
      MetricRegistry metrics,
      Duration drainPeriod)
      throws Exception {
    GatewaySettings settings =
        new GatewaySettings(
            id,
            "a",
            false,
            frontend,
            peerAddress,
            new RetryLimits(0.2, 50, TimeUnit.SECONDS.toNanos(10)),
            Duration.ofSeconds(3),
            new ForwardingLimits(MAX_PROOF_AGE, Duration.ofMillis(800), drainPeriod));
    Gateway started = new Gateway(settings, new TestCodec(), EventSink.none(), metrics);
    started.start().get(20, TimeUnit.SECONDS);
    return started;
  }

  @AfterEach
  void stop() throws Exception {
    gateway.stop().get(20, TimeUnit.SECONDS);
    for (ScriptedServer server : servers) {
      server.close();
    }
  }

  ForwardingRoute route(String prefix, String service, Repeatability repeatability) {
    return new ForwardingRoute(
        prefix,
        "h",
        prefix,
        repeatability,
        routeTimeout,
        targetLatency,
        targetEventGap,
        2,
        0,
        false,
        List.of(new WeightedService(service, 1)));
  }

  /** Applies a configuration that is proven to be the latest. */
  void configure(long version, String... keys) {
    apply(version, keys);
    gateway.recordConfigurationRead(
        new StoreRead(0, System.nanoTime(), System.currentTimeMillis()));
  }

  /** Applies a configuration without a proof. */
  void apply(long version, String... keys) {
    Map<String, KeyHolder> holders = new java.util.HashMap<>();
    for (String key : keys) {
      String workspace = key.equals(otherWorkspace) ? "workspace-2" : "workspace-1";
      holders.put(key, new KeyHolder(workspace, keyPriority));
    }
    gateway.applyConfiguration(
        new ForwardingConfiguration(
            version,
            FrontendLimits.INITIAL,
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
  }

  ScriptedServer serve(String service, ScriptedServer.Script script) throws IOException {
    return serve(service, "v1", script);
  }

  ScriptedServer serve(String service, String version, ScriptedServer.Script script)
      throws IOException {
    ScriptedServer server = new ScriptedServer(script);
    servers.add(server);
    entries.add(
        new ServerEntry(
            "server-" + servers.size(),
            1,
            service,
            version,
            "127.0.0.1",
            server.port(),
            serverDataCentre,
            6,
            false,
            Duration.ZERO));
    gateway.updateServers(entries, "test");
    return server;
  }

  /** Entry of the next start of a server under the same id and address. */
  static ServerEntry restarted(ServerEntry entry) {
    return changed(entry, entry.id(), entry.incarnation() + 1, false);
  }

  /** Entry of a server that has begun to leave. */
  static ServerEntry leaving(ServerEntry entry) {
    return changed(entry, entry.id(), entry.incarnation(), true);
  }

  /** Entry of another server at the same address. */
  static ServerEntry renamed(ServerEntry entry, String id) {
    return changed(entry, id, entry.incarnation(), entry.leaving());
  }

  private static ServerEntry changed(
      ServerEntry entry, String id, long incarnation, boolean leaving) {
    return new ServerEntry(
        id,
        incarnation,
        entry.service(),
        entry.version(),
        entry.host(),
        entry.port(),
        entry.dataCentre(),
        entry.slots(),
        leaving,
        entry.warmUpRemaining());
  }

  /** Waits until a condition holds, and fails if it does not hold in time. */
  static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + CONDITION_TIMEOUT.toNanos();
    while (!condition.getAsBoolean() && end - System.nanoTime() > 0) {
      Uninterruptibles.sleepUninterruptibly(2, TimeUnit.MILLISECONDS);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  /** Step of a test whose duration is limited. */
  interface TimedStep {
    void run() throws Exception;
  }

  /**
   * Runs a step until it takes less than a limit, up to five times, and returns the shortest time
   * in milliseconds. A slow machine, or the first use of classes, delays some of the runs; a fault
   * of the gateway delays all of them.
   */
  static long shortestMillis(long limitMillis, TimedStep step) throws Exception {
    long shortest = Long.MAX_VALUE;
    for (int i = 0; i < MAX_RUNS && shortest >= limitMillis; i++) {
      long start = System.nanoTime();
      step.run();
      shortest = Math.min(shortest, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
    }
    return shortest;
  }

  /** Waits until the gateway has received the first events of this many streams of a route. */
  final void awaitFirstEvents(String prefix, int streams) {
    await(() -> metrics.histogram("forward.first_event_ms." + prefix).getCount() >= streams);
  }

  /** Number of requests that wait for room at a server. */
  int waitingRequests() {
    return (Integer) metrics.getGauges().get("forward.waiting").getValue();
  }

  /** Memory of the response bodies that the gateway keeps, in bytes. */
  long bufferedBytes() {
    return (Long) metrics.gauge("forward.buffered_bytes", () -> () -> 0L).getValue();
  }

  /**
   * Waits until the gateway has made the changes that were passed to it before; it accepts later
   * connections only afterwards.
   */
  final void awaitChanges() throws IOException {
    callAs("none", "GET", "/none/x", "");
  }

  /** Calls on a thread of its own, so that calls do not wait for each other. */
  final CompletableFuture<String> startCall(
      String id, String method, String target, String headers) {
    CompletableFuture<String> response = new CompletableFuture<>();
    Thread caller =
        new Thread(
            () -> {
              try {
                response.complete(callAs(id, method, target, headers));
              } catch (IOException e) {
                response.completeExceptionally(e);
              }
            });
    caller.setDaemon(true);
    caller.start();
    return response;
  }

  String call(String method, String target, String headers) throws IOException {
    return callAs("r1", method, target, headers);
  }

  String callAs(String id, String method, String target, String headers) throws IOException {
    try (Socket socket = sendRequest(id, method, target, headers)) {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (ConnectException e) {
      throw e;
    } catch (SocketException e) {
      return "reset";
    }
  }

  /** What a caller received until the end of its connection, which may be a reset. */
  String receivedBy(String id, String method, String target, String headers) throws IOException {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    try (Socket socket = sendRequest(id, method, target, headers)) {
      byte[] buffer = new byte[4_096];
      for (int count = 0; count >= 0; count = socket.getInputStream().read(buffer)) {
        received.write(buffer, 0, count);
      }
    } catch (ConnectException e) {
      throw e;
    } catch (SocketException e) {
      return received.toString(StandardCharsets.ISO_8859_1);
    }
    return received.toString(StandardCharsets.ISO_8859_1);
  }

  private Socket sendRequest(String id, String method, String target, String headers)
      throws IOException {
    Socket socket = new Socket(frontend.getAddress(), frontend.getPort());
    socket.setSoTimeout(callerTimeoutMillis);
    socket
        .getOutputStream()
        .write(
            (method
                    + " "
                    + target
                    + " HTTP/1.1\r\nhost: h\r\nid: "
                    + id
                    + "\r\nConnection: close\r\n"
                    + headers
                    + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }
}
