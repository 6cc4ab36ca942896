package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.basilport.event.EventType;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.config.PlacementRules;
import org.basilport.gateway.config.Repeatability;
import org.basilport.gateway.config.WeightedService;
import org.basilport.gateway.forward.ForwardingLimits;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;
import org.basilport.gateway.message.MessageCodec;
import org.basilport.misc.LoopbackPorts;
import org.basilport.policy.dispatch.StorePosition;
import org.basilport.policy.dispatch.StoreRead;
import org.junit.jupiter.api.BeforeEach;

/** Base class of tests of a gateway in data centre "a" that follows evacuations. */
abstract class EvacuationFixture extends GatewayFixture {
  /** Runs on the event loop thread when a request has been decoded, before it is placed. */
  final AtomicReference<Runnable> beforePlacement = new AtomicReference<>(() -> {});

  final List<EventType> events = new CopyOnWriteArrayList<>();
  MetricRegistry registry;
  private long revision;

  @Override
  @BeforeEach
  void start() throws Exception {
    callerTimeoutMillis = 30_000;
    start(Optional.of(Duration.ofSeconds(5)));
    evacuate("none");
    evacuate();
  }

  /** Starts an instance that has read its configuration and no evacuations. */
  void start(Optional<Duration> evacuationLimit) throws Exception {
    registry = new MetricRegistry();
    frontend = LoopbackPorts.freeAddress();
    Duration patience = Duration.ofSeconds(10);
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
                new ForwardingLimits(MAX_PROOF_AGE, patience, patience),
                new PlacementRules(Optional.empty(), evacuationLimit, "", Map.of())),
            codec(),
            (type, subject, arguments) -> events.add(type),
            registry);
    gateway.start().get(10, TimeUnit.SECONDS);
    gateway.applyConfiguration(
        new ForwardingConfiguration(
            1,
            FrontendLimits.INITIAL,
            List.of(
                patient(route("/read/", "plain", Repeatability.IDEMPOTENT)),
                patient(route("/stream/", "model", Repeatability.STREAM)),
                patient(route("/resume/", "model", Repeatability.RESUMABLE_STREAM))),
            Map.of(
                "plain", new ForwardingService("plain", 10, Optional.empty()),
                "model", new ForwardingService("model", 10, Optional.of(ENGINE))),
            false,
            Map.of()),
        "test");
  }

  private MessageCodec codec() {
    TestCodec codec = new TestCodec();
    return (MessageCodec)
        Proxy.newProxyInstance(
            MessageCodec.class.getClassLoader(),
            new Class<?>[] {MessageCodec.class},
            (proxy, method, arguments) -> {
              Object result = method.invoke(codec, arguments);
              if (method.getName().equals("decodeRequest")) {
                beforePlacement.get().run();
              }
              return result;
            });
  }

  /** The same route for callers that wait long enough for each condition of a test. */
  private static ForwardingRoute patient(ForwardingRoute route) {
    return new ForwardingRoute(
        route.name(),
        route.host(),
        route.pathPrefix(),
        route.repeatability(),
        Duration.ofSeconds(25),
        Duration.ofSeconds(20),
        Duration.ofSeconds(5),
        route.maxAttempts(),
        route.priority(),
        true,
        List.of(new WeightedService(route.serviceFor(""), 1)));
  }

  /** Passes the next list of the evacuated data centres to the gateway. */
  final synchronized void update(String... dataCentres) {
    StoreRead read = new StoreRead(1, System.nanoTime(), System.currentTimeMillis());
    gateway.updateEvacuations(Set.of(dataCentres), new StorePosition(1, ++revision), read);
  }

  /** Passes the next list to the gateway and waits until it is in force. */
  final void evacuate(String... dataCentres) {
    update(dataCentres);
    await(() -> gauge("evacuations.data_centres") == dataCentres.length);
  }

  final int gauge(String name) {
    return ((Number) registry.getGauges().get(name).getValue()).intValue();
  }

  final ScriptedServer serveIn(String dataCentre, String service, ScriptedServer.Script script)
      throws IOException {
    serverDataCentre = dataCentre;
    return serve(service, script);
  }

  static void answer(ScriptedServer.Request request, OutputStream out, Socket socket)
      throws IOException {
    ScriptedServer.sendResponse(out, request, 200, "ok");
  }

  /** Calls on a thread of its own. */
  final CompletableFuture<String> startCall(String id, String method, String target) {
    CompletableFuture<String> response = new CompletableFuture<>();
    Thread caller =
        new Thread(
            () -> {
              try {
                response.complete(receivedBy(id, method, target, "tokens: 100\r\n"));
              } catch (IOException e) {
                response.completeExceptionally(e);
              }
            });
    caller.setDaemon(true);
    caller.start();
    return response;
  }

  final String read(String id) throws IOException {
    return callAs(id, "GET", "/read/x", "");
  }

  static void assertRejected(String response) {
    assertThat(response).startsWith("HTTP/1.1 503");
    assertThat(response).contains("retry-after: ");
    assertThat(response).contains("data centres of the backend servers are evacuated");
  }
}
