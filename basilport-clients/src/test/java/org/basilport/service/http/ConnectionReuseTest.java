package org.basilport.service.http;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilport.http.HttpTimeouts;
import org.basilport.http.HttpTransport;
import org.basilport.service.ServiceReplica;
import org.basilport.service.ServiceRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ratpack.handling.Handler;
import ratpack.server.RatpackServer;

class ConnectionReuseTest {
  private final HttpTransport connector = HttpTransport.standalone(1, HttpTimeouts.defaults());
  private final Set<Integer> ports = ConcurrentHashMap.newKeySet();
  private final AtomicInteger requests = new AtomicInteger();
  private RatpackServer server;

  @AfterEach
  void stop() throws Exception {
    connector.close();
    server.stop();
  }

  private ServiceReplica open(Handler handler) throws Exception {
    server =
        RatpackServer.of(
            spec ->
                spec.serverConfig(
                        config ->
                            config.port(0).address(InetAddress.getByName("127.0.0.1")).threads(1))
                    .handler(registry -> handler));
    server.start();
    return new HttpServiceReplica(connector, "127.0.0.1:" + server.getBindPort());
  }

  /** Guards against a request that may not be repeated on a connection that was used before. */
  @ParameterizedTest
  @CsvSource({"true, 1", "false, 4"})
  void onlyRepeatableRequestsShareConnections(boolean repeatable, int connections)
      throws Exception {
    ServiceReplica service =
        open(
            context -> {
              ports.add(context.getRequest().getRemoteAddress().getPort());
              context.getResponse().send("ok");
            });
    for (int i = 0; i < 4; i++) {
      service.call(new ServiceRequest("r" + i, "k" + i, "ws", "p", repeatable, "b")).join();
    }

    assertThat(ports).hasSize(connections);
  }

  /** Guards against a redirect that makes the client send a request a second time. */
  @Test
  void redirectsAreNotFollowed() throws Exception {
    ServiceReplica service =
        open(
            context -> {
              requests.incrementAndGet();
              context.getResponse().getHeaders().set("Location", "/again");
              context.getResponse().status(307).send();
            });

    int status = service.call(new ServiceRequest("r", "k", "ws", "p", false, "b")).join().status();

    assertThat(status).isEqualTo(307);
    assertThat(requests.get()).isEqualTo(1);
  }
}
