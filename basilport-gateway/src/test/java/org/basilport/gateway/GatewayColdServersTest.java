package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilport.event.EventSink;
import org.basilport.gateway.backend.ColdStartShares;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.gateway.config.ColdStart;
import org.basilport.gateway.config.ColdStartLimits;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.config.PlacementRules;
import org.basilport.gateway.config.Repeatability;
import org.basilport.gateway.config.WeightedService;
import org.basilport.gateway.forward.ForwardingLimits;
import org.basilport.gateway.forward.ForwardingState;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;
import org.basilport.gateway.forward.HomeRegions;
import org.basilport.gateway.forward.RequestForwarder;
import org.basilport.gateway.forward.ResponseChannel;
import org.basilport.gateway.peer.InstanceEntry;
import org.basilport.misc.LoopbackPorts;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Servers that have just started and bear few requests. */
class GatewayColdServersTest extends GatewayFixture {
  /** 26 requests a second, times 1.5, and 5. */
  private static final int BOUND = 44;

  private static final PlacementRules LIMITED =
      new PlacementRules(Optional.of(new ColdStartLimits(1.5, 5)), Optional.empty(), "", Map.of());

  private static final RetryLimits RETRIES = new RetryLimits(0.2, 50, TimeUnit.SECONDS.toNanos(10));

  private static final ForwardingLimits LIMITS =
      new ForwardingLimits(Duration.ofSeconds(4), Duration.ofMillis(800), Duration.ofSeconds(2));

  /** Longer than any test. */
  private static final Duration LONG_COLD = Duration.ofMinutes(10);

  /** Queued requests wait for most of it. */
  private static final Duration TARGET_LATENCY = Duration.ofSeconds(20);

  private static final int CALLS = 20;

  /** Slots of each server. */
  private static final int SLOTS = 6;

  private final AtomicInteger ids = new AtomicInteger();
  private final List<Long> arrivals = new CopyOnWriteArrayList<>();

  @Override
  @BeforeEach
  void start() throws Exception {
    start(LIMITED);
  }

  private void start(PlacementRules rules) throws Exception {
    frontend = LoopbackPorts.freeAddress();
    peerAddress = LoopbackPorts.freeAddress();
    GatewaySettings settings =
        new GatewaySettings(
            "gateway-1",
            "a",
            false,
            frontend,
            peerAddress,
            RETRIES,
            Duration.ofSeconds(3),
            LIMITS,
            rules);
    gateway = new Gateway(settings, new TestCodec(), EventSink.none(), metrics);
    gateway.start().get(10, TimeUnit.SECONDS);
    gateway.applyConfiguration(configuration(), "test");
  }

  private static ForwardingConfiguration configuration() {
    Optional<ColdStart> coldStart = Optional.of(new ColdStart(Duration.ofSeconds(1), 26));
    return new ForwardingConfiguration(
        1,
        FrontendLimits.INITIAL,
        List.of(
            patient("/read/", "plain", Repeatability.IDEMPOTENT),
            patient("/stream/", "model", Repeatability.STREAM)),
        Map.of(
            "plain", new ForwardingService("plain", 100, Optional.empty(), coldStart),
            "model", new ForwardingService("model", 100, Optional.of(ENGINE), coldStart)),
        false,
        Map.of());
  }

  private static ForwardingRoute patient(String prefix, String service, Repeatability kind) {
    return new ForwardingRoute(
        prefix,
        "h",
        prefix,
        kind,
        TARGET_LATENCY.multipliedBy(2),
        TARGET_LATENCY,
        TARGET_LATENCY,
        2,
        0,
        true,
        List.of(new WeightedService(service, 1)));
  }

  private String read() throws IOException {
    try (Socket socket = new Socket(frontend.getAddress(), frontend.getPort())) {
      // Queued requests wait for several windows, longer than the callers of the fixture.
      socket.setSoTimeout((int) TARGET_LATENCY.toMillis());
      String head = "GET /read/x HTTP/1.1\r\nhost: h\r\nConnection: close\r\nid: r";
      byte[] request = (head + ids.incrementAndGet() + "\r\n\r\n").getBytes(StandardCharsets.UTF_8);
      socket.getOutputStream().write(request);
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private String stream() {
    try {
      return callAs("s1", "POST", "/stream/x", "tokens: 100\r\n");
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Lists a server that answers at once, and is cold for the given time. */
  private ScriptedServer serve(Duration cold) throws IOException {
    ScriptedServer server =
        serve(
            "plain",
            (request, out, socket) -> {
              arrivals.add(System.nanoTime());
              ScriptedServer.sendResponse(out, request, 200, "ok");
            });
    entries.add(cold(entries.remove(entries.size() - 1), cold));
    gateway.updateServers(entries, "test");
    return server;
  }

  private static ServerEntry cold(ServerEntry entry, Duration remaining) {
    return new ServerEntry(
        entry.id(),
        entry.incarnation(),
        entry.service(),
        entry.version(),
        entry.host(),
        entry.port(),
        entry.dataCentre(),
        entry.slots(),
        false,
        remaining);
  }

  /** Guards against requests to a cold server of an instance that holds no permit. */
  @Test
  void areAvoidedByAnInstanceWithoutAPermit() throws Exception {
    ScriptedServer cold = serve(LONG_COLD);
    ScriptedServer warm = serve(Duration.ZERO);
    for (int i = 0; i < CALLS; i++) {
      assertThat(read()).startsWith("HTTP/1.1 200");
    }

    assertThat(cold.requests()).isEmpty();
    assertThat(warm.requests()).hasSize(CALLS);
  }

  /** Guards against requests that wait although no server takes them while they can wait. */
  @Test
  void letRequestsBeRejectedAtOnce() throws Exception {
    ScriptedServer cold = serve(LONG_COLD);
    String response = read();

    assertThat(response).startsWith("HTTP/1.1 503");
    assertThat(response).contains("retry-after");
    assertThat(response).contains("cold");
    assertThat(cold.requests()).isEmpty();
  }

  /** Waits until the list of instances has settled, and this instance holds all permits. */
  private void awaitPermits() throws Exception {
    gateway.updateInstances(List.of(new InstanceEntry("gateway-1", peerAddress)));
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!read().startsWith("HTTP/1.1 200") && end - System.nanoTime() > 0) {
      TimeUnit.MILLISECONDS.sleep(100);
    }
  }

  /**
   * Load: a server that has just started is empty while the other one fills up. Guards against
   * requests that wait at a full server because an empty one is cold.
   */
  @Test
  void areUsedBeforeTheOthersAreFull() throws Exception {
    ScriptedServer cold = serve(LONG_COLD);
    awaitPermits();
    int before = cold.requests().size();
    CountDownLatch answered = new CountDownLatch(1);
    ScriptedServer warm =
        serve(
            "plain",
            (request, out, socket) -> {
              answered.await(20, TimeUnit.SECONDS);
              ScriptedServer.sendResponse(out, request, 200, "ok");
            });
    ExecutorService callers = Executors.newFixedThreadPool(SLOTS);
    List<Future<String>> responses = new ArrayList<>();
    for (int i = 0; i < SLOTS; i++) {
      responses.add(callers.submit(this::read));
    }
    await(() -> cold.requests().size() + warm.requests().size() - before == SLOTS);
    answered.countDown();
    for (Future<String> response : responses) {
      assertThat(response.get(30, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
    }
    callers.shutdown();

    assertThat(warm.requests()).isNotEmpty();
    assertThat(cold.requests().size()).isGreaterThan(before);
  }

  /**
   * Load: more requests than permits while the only server is cold. Guards against requests above
   * the bound, and against a queued request that is not tried again when a permit is free.
   */
  @Test
  void getNoMoreThanTheBound() throws Exception {
    serve(LONG_COLD);
    awaitPermits();
    ExecutorService callers = Executors.newFixedThreadPool(CALLS + BOUND);
    List<Future<String>> responses = new ArrayList<>();
    for (int i = 0; i < CALLS + BOUND; i++) {
      responses.add(callers.submit(this::read));
    }
    for (Future<String> response : responses) {
      assertThat(response.get(30, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
    }
    callers.shutdown();

    assertThat(metrics.counter("cold.sends").getCount()).isEqualTo(arrivals.size());
    assertThat(metrics.counter("cold.deferred").getCount()).isAtLeast(1);
    for (long from : arrivals) {
      long within =
          arrivals.stream()
              .filter(at -> at - from >= 0 && at - from <= TimeUnit.SECONDS.toNanos(1))
              .count();
      assertThat(within).isAtMost(BOUND);
    }
  }

  /**
   * Guards against a request that waits for a connection while its server turns cold, and is sent
   * to it without a permit.
   */
  @Test
  void getNothingThatWasPlacedWhileTheyWereWarm() throws Exception {
    ScriptedServer cold = serve(Duration.ZERO);
    ScriptedServer warm = serve(Duration.ZERO);
    EventLoopGroup loops = new NioEventLoopGroup(1);
    EventLoop loop = loops.next();
    ColdStartShares shares = new ColdStartShares("i", LIMITED.coldStartLimits(), EventSink.none());
    ForwardingState state =
        new ForwardingState(
            "a",
            false,
            RETRIES,
            new ServerTable("i", loop, new TestCodec(), EventSink.none(), shares),
            EventSink.none(),
            new SplittableRandom(1));
    RequestForwarder forwarder =
        new RequestForwarder(
            loop,
            new TestCodec(),
            state,
            EventSink.none(),
            metrics,
            LIMITS,
            new HomeRegions(Map.of(), state::configuration, metrics));
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/read/x");
    request.headers().set("host", "h").set("id", "r1");
    CountDownLatch answered = new CountDownLatch(1);
    ResponseChannel caller =
        (ResponseChannel)
            Proxy.newProxyInstance(
                ResponseChannel.class.getClassLoader(),
                new Class<?>[] {ResponseChannel.class},
                (proxy, method, arguments) -> {
                  answered.countDown();
                  return null;
                });
    Runnable task =
        () -> {
          state.applyConfiguration(configuration(), "test");
          state.updateServers(entries.subList(0, 1), "test");
          // A connection is open after a later task of the event loop at the earliest.
          forwarder.receive(request, new byte[0], caller);
          state.updateServers(List.of(cold(entries.get(0), LONG_COLD), entries.get(1)), "test");
        };
    loop.submit(task).get(10, TimeUnit.SECONDS);
    assertThat(answered.await(10, TimeUnit.SECONDS)).isTrue();
    loops.shutdownGracefully();

    assertThat(cold.requests()).isEmpty();
    assertThat(warm.requests()).hasSize(1);
    assertThat(shares.deferred().getCount()).isEqualTo(1);
  }

  /**
   * Guards against a continuation without a permit at an engine that turns cold after its choice.
   */
  @Test
  void areNoTargetsOfMovesWithoutAPermit() throws Exception {
    CountDownLatch copied = new CountDownLatch(1);
    List<String> moves = new CopyOnWriteArrayList<>();
    ScriptedServer.Script engine =
        (request, out, socket) -> {
          if (request.line().startsWith("POST /move/")) {
            entries.set(1, cold(entries.get(1), LONG_COLD));
            gateway.updateServers(entries, "test");
            moves.add(request.line());
            ScriptedServer.sendResponse(out, request, 200, "handle");
            copied.countDown();
            return;
          }
          ScriptedServer.startStream(out, request);
          ScriptedServer.writeEvents(out, 1, 3);
          copied.await(10, TimeUnit.SECONDS);
          TimeUnit.MILLISECONDS.sleep(300);
          ScriptedServer.writeEvents(out, 4, 5);
          ScriptedServer.endStream(out);
        };
    serve("model", engine);
    CompletableFuture<String> response = CompletableFuture.supplyAsync(this::stream);
    while (servers.get(0).requests().isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    serve("model", engine);
    entries.set(0, leaving(entries.get(0)));
    gateway.updateServers(entries, "test");

    assertThat(response.get(20, TimeUnit.SECONDS)).contains("data: t5");
    assertThat(servers.get(1).requests()).isEmpty();
    assertThat(moves).hasSize(1);
  }

  /** Guards against other decisions in a deployment that does not limit cold servers. */
  @Test
  void areUsedAsBeforeWithoutTheSettings() throws Exception {
    gateway.stop().get(10, TimeUnit.SECONDS);
    start(PlacementRules.NONE);
    ScriptedServer cold = serve(LONG_COLD);
    for (int i = 0; i < 2 * BOUND; i++) {
      assertThat(read()).startsWith("HTTP/1.1 200");
    }

    assertThat(cold.requests()).hasSize(2 * BOUND);
  }
}
