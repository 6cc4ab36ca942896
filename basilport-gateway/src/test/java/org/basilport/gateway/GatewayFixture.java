package org.basilport.gateway;

import com.codahale.metrics.MetricRegistry;
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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
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

  final List<ScriptedServer> servers = new CopyOnWriteArrayList<>();
  final List<ServerEntry> entries = new ArrayList<>();
  final MetricRegistry metrics = new MetricRegistry();
  int keyPriority = -1;

  /** Data centre of the servers that are started next. */
  String serverDataCentre = "a";

  int callerTimeoutMillis = 5_000;

  /** Key of a second workspace; all other keys belong to the first one. */
  String otherWorkspace = "";

  Gateway gateway;
  InetSocketAddress frontend;
  InetSocketAddress peerAddress;

  @BeforeEach
  void start() throws Exception {
    frontend = LoopbackPorts.freeAddress();
    peerAddress = LoopbackPorts.freeAddress();
    gateway = startGateway("gateway-1", frontend, peerAddress, metrics);
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
            new ForwardingLimits(Duration.ofSeconds(4), Duration.ofMillis(800), drainPeriod));
    Gateway started = new Gateway(settings, new TestCodec(), EventSink.none(), metrics);
    started.start().get(5, TimeUnit.SECONDS);
    return started;
  }

  @AfterEach
  void stop() throws Exception {
    gateway.stop().get(5, TimeUnit.SECONDS);
    for (ScriptedServer server : servers) {
      server.close();
    }
  }

  static ForwardingRoute route(String prefix, String service, Repeatability repeatability) {
    return new ForwardingRoute(
        prefix,
        "h",
        prefix,
        repeatability,
        Duration.ofMillis(1_500),
        Duration.ofMillis(150),
        Duration.ofMillis(90),
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

  /** Memory of the response bodies that the gateway keeps, in bytes. */
  long bufferedBytes() {
    return (Long) metrics.gauge("forward.buffered_bytes", () -> () -> 0L).getValue();
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
