package org.basilport.platform.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
import org.basilport.http.HttpTimeouts;
import org.basilport.http.HttpTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Responses of the platform that are whole, but not those of the call. */
class PlatformResponsesTest {
  /** Limit of a call, which only a call that never ends reaches. */
  private static final long LIMIT_SECONDS = 30;

  private static final String NO_VERSION = "";
  private static final byte[] VALUE = {1};

  private final HttpTransport transport = HttpTransport.standalone(1, HttpTimeouts.defaults());
  private HttpServer platform;
  private HttpObjectStore store;
  private volatile Response response;

  /** A whole response. */
  private record Response(int status, String version, String body) {}

  @BeforeEach
  void start() throws IOException {
    platform = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    platform.createContext("/", this::respond);
    platform.start();
    store = new HttpObjectStore(transport, address(), "i1");
  }

  @AfterEach
  void stop() {
    transport.close();
    platform.stop(0);
  }

  private String address() {
    return "127.0.0.1:" + platform.getAddress().getPort();
  }

  private void respond(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    if (!response.version.isEmpty()) {
      exchange.getResponseHeaders().set("ETag", response.version);
    }
    byte[] bytes = response.body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(response.status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  /** Guards against an object that is taken for absent, or for one of version 0. */
  @Test
  void areNoObjects() throws Exception {
    List<Response> others =
        List.of(
            new Response(200, NO_VERSION, "value"),
            new Response(200, "\"\"", "value"),
            new Response(200, "\"x\"", "value"),
            new Response(200, "7", "value"),
            new Response(204, "\"7\"", ""),
            new Response(302, NO_VERSION, ""));
    assertRefused(Outcome.NOT_RUN, others, () -> store.read("a"));
    assertRefused(Outcome.NOT_RUN, others, () -> store.watch("a", 3, Duration.ZERO));
  }

  /** Guards against a write that counts as done. */
  @Test
  void areNoProofOfAWrite() throws Exception {
    List<Response> others =
        List.of(
            new Response(204, NO_VERSION, ""),
            new Response(204, "\"x\"", ""),
            new Response(302, "\"7\"", ""),
            new Response(404, "\"7\"", "{}"));
    assertRefused(Outcome.MAY_HAVE_RUN, others, () -> store.write("a", VALUE, 3));
    assertRefused(
        Outcome.MAY_HAVE_RUN,
        List.of(new Response(302, NO_VERSION, "")),
        () -> store.delete("a", 3));
    assertRefused(
        Outcome.MAY_HAVE_RUN,
        List.of(new Response(302, NO_VERSION, ""), new Response(404, NO_VERSION, "{}")),
        () -> new HttpWeightStore(transport, address(), "i1").reserveFetch("m", "v"));
  }

  /** Guards against a list without entries, on which all servers are gone. */
  @Test
  void areNoLists() throws Exception {
    List<Response> others = new ArrayList<>();
    for (String body : List.of("", "null", "5", "{}", "{\"error\":\"e\"}", "[]HTTP/1.1 503 E")) {
      others.add(new Response(200, NO_VERSION, body));
    }
    others.add(new Response(404, NO_VERSION, "[]"));
    others.add(new Response(302, NO_VERSION, "[]"));
    assertRefused(Outcome.NOT_RUN, others, () -> store.list("a"));
    assertRefused(
        Outcome.NOT_RUN,
        others,
        () -> new HttpInstanceDirectory(transport, address(), "i1").list());
  }

  @Test
  void areBelievedIfTheyAreThoseOfTheCall() throws Exception {
    response = new Response(200, "\"7\"", "value");
    assertThat(store.read("a").get(LIMIT_SECONDS, TimeUnit.SECONDS).orElseThrow().version())
        .isEqualTo(7);
    response = new Response(404, NO_VERSION, "{}");
    assertThat(store.read("a").get(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(Optional.empty());
    response = new Response(304, NO_VERSION, "");
    assertThat(store.watch("a", 3, Duration.ZERO).get(LIMIT_SECONDS, TimeUnit.SECONDS))
        .isEqualTo(Optional.empty());
    response = new Response(204, "\"8\"", "");
    assertThat(store.write("a", VALUE, 7).get(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(8);
    response = new Response(200, NO_VERSION, "[\"a\"]");
    assertThat(store.list("a").get(LIMIT_SECONDS, TimeUnit.SECONDS)).containsExactly("a");
  }

  private void assertRefused(
      Outcome outcome, List<Response> others, Supplier<CompletableFuture<?>> call)
      throws Exception {
    for (Response other : others) {
      response = other;
      Throwable failure = null;
      try {
        call.get().get(LIMIT_SECONDS, TimeUnit.SECONDS);
      } catch (ExecutionException e) {
        failure = e.getCause();
      }
      assertWithMessage("%s", other).that(failure).isInstanceOf(BasilportException.class);
      assertWithMessage("%s", other)
          .that(((BasilportException) failure).outcome())
          .isEqualTo(outcome);
    }
  }
}
