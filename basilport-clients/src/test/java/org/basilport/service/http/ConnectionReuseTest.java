package org.basilport.service.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetAddress;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
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
  private final HttpTransport transport = HttpTransport.standalone(1, HttpTimeouts.defaults());
  private final Set<Integer> ports = ConcurrentHashMap.newKeySet();
  private final AtomicInteger requests = new AtomicInteger();
  private RatpackServer server;

  @AfterEach
  void stop() throws Exception {
    transport.close();
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
    return new HttpServiceReplica(transport, "127.0.0.1:" + server.getBindPort());
  }

  /** Guards against a non-repeatable request on a reused connection. */
  @ParameterizedTest
  @CsvSource({"true, 1", "false, 4"})
  void onlyRepeatableRequestsShareConnections(boolean repeatable, int connections)
      throws Exception {
    ServiceReplica replica =
        open(
            context -> {
              ports.add(context.getRequest().getRemoteAddress().getPort());
              context.getResponse().send("ok");
            });
    for (int i = 0; i < 4; i++) {
      replica.call(new ServiceRequest("r" + i, "k" + i, "ws", "p", repeatable, "b")).join();
    }

    assertThat(ports).hasSize(connections);
  }

  /** Guards against a promise that was made for an earlier request on the same connection. */
  @ParameterizedTest
  @CsvSource({"r2, NOT_RUN", "r1, MAY_HAVE_RUN", ", MAY_HAVE_RUN"})
  void aRefusalCountsOnlyWithTheIdOfItsRequest(String echoedId, Outcome outcome) throws Exception {
    String refusal =
        "{\"code\":\"OVER_LIMIT\",\"outcome\":\"NOT_RUN\",\"step\":\"SEND\",\"message\":\"full\"}";
    ServiceReplica replica =
        open(
            context -> {
              if (echoedId != null) {
                context.getResponse().getHeaders().set(HttpServiceReplica.REQUEST_ID, echoedId);
              }
              context.getResponse().status(503).send(refusal);
            });
    CompletionException failure =
        assertThrows(
            CompletionException.class,
            () -> replica.call(new ServiceRequest("r2", "k", "ws", "p", true, "b")).join());

    assertThat(((BasilportException) failure.getCause()).outcome()).isEqualTo(outcome);
  }

  /** Guards against a redirect that makes the client send a request twice. */
  @Test
  void redirectsAreNotFollowed() throws Exception {
    ServiceReplica replica =
        open(
            context -> {
              requests.incrementAndGet();
              context.getResponse().getHeaders().set("Location", "/again");
              context.getResponse().status(307).send();
            });

    int status = replica.call(new ServiceRequest("r", "k", "ws", "p", false, "b")).join().status();

    assertThat(status).isEqualTo(307);
    assertThat(requests.get()).isEqualTo(1);
  }
}
