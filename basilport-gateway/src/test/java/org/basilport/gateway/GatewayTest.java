package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Sends requests through a gateway to scripted servers. */
class GatewayTest extends GatewayFixture {
  @Nested
  class Rejections {
    /** Guards against a rejection without retry by an instance that has no configuration yet. */
    @Test
    void answers503BeforeTheFirstConfiguration() throws Exception {
      assertThat(call("GET", "/read/x", "key: k1\r\n")).startsWith("HTTP/1.1 503");
    }

    /** Guards against forwarding requests without a valid key or route. */
    @Test
    void answers401And404() throws Exception {
      configure(1, "k1");
      assertThat(call("GET", "/read/x", "key: wrong\r\n")).startsWith("HTTP/1.1 401");
      assertThat(call("GET", "/none/x", "key: k1\r\n")).startsWith("HTTP/1.1 404");
    }

    /** Guards against reverting to an older configuration. */
    @Test
    void ignoresOlderVersions() throws Exception {
      configure(5, "k5");
      configure(4, "k4");
      assertThat(call("GET", "/none/x", "key: k4\r\n")).startsWith("HTTP/1.1 404");
      assertThat(call("GET", "/read/x", "key: k4\r\n")).startsWith("HTTP/1.1 401");
    }

    /**
     * Guards against a request that waits until its deadline although the service has no server.
     */
    @Test
    void rejectsImmediatelyWithoutServers() throws Exception {
      configure(1, "k1");
      long elapsedMillis =
          shortestMillis(
              400,
              () -> {
                String response = call("POST", "/write/x", "key: k1\r\n");
                assertThat(response).startsWith("HTTP/1.1 503");
                assertThat(response).contains("retry-after");
              });

      assertThat(elapsedMillis).isLessThan(400);
    }
  }

  @Nested
  class PlainCalls {
    /** Guards against failing a request that another server could have processed. */
    @Test
    void retriesIdempotentRequests() throws Exception {
      configure(1, "k1");
      serve("plain", (request, out, socket) -> socket.close());
      serve(
          "plain", (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok"));
      for (int i = 0; i < 5; i++) {
        assertThat(call("GET", "/read/x", "key: k1\r\n")).contains("ok");
      }
    }

    /** Guards against a server that accepts requests and never responds. */
    @Test
    void retriesIdempotentRequestsWithoutResponse() throws Exception {
      configure(1, "k1");
      serve("plain", (request, out, socket) -> Thread.sleep(5_000));
      serve(
          "plain", (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok"));
      for (int i = 0; i < 3; i++) {
        assertThat(call("GET", "/read/x", "key: k1\r\n")).contains("ok");
      }
    }

    /** Guards against opening more connections than a server accepts, which it would reset. */
    @Test
    void respectsTheConnectionLimitOfAServer() throws Exception {
      configure(1, "k1");
      AtomicInteger open = new AtomicInteger();
      AtomicInteger mostOpen = new AtomicInteger();
      serve(
          "narrow",
          (request, out, socket) -> {
            mostOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
            Thread.sleep(60);
            open.decrementAndGet();
            ScriptedServer.sendResponse(out, request, 200, "ok");
          });
      List<CompletableFuture<String>> responses = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        responses.add(
            CompletableFuture.supplyAsync(
                () -> {
                  try {
                    return call("GET", "/narrow/x", "key: k1\r\n");
                  } catch (IOException e) {
                    throw new UncheckedIOException(e);
                  }
                }));
      }
      for (CompletableFuture<String> response : responses) {
        response.get(5, TimeUnit.SECONDS);
      }
      assertThat(mostOpen.get()).isAtMost(NARROW_CONNECTIONS);
    }

    /** Guards against a request that crashes one server after another. */
    @Test
    void quarantinesARequestThatCrashedThreeServers() throws Exception {
      configure(1, "k1");
      AtomicInteger reported = new AtomicInteger();
      List<ScriptedServer> crashingServers = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        int index = i;
        crashingServers.add(
            serve(
                "plain",
                (request, out, socket) -> {
                  crashingServers.get(index).close();
                  entries.removeIf(entry -> entry.port() == crashingServers.get(index).port());
                  gateway.updateServers(entries, "test");
                  reported.incrementAndGet();
                }));
      }
      for (int i = 0; i < 6; i++) {
        int before = reported.get();
        if (!call("POST", "/write/x", "key: k1\r\n").startsWith("HTTP/1.1 503")) {
          await(() -> reported.get() > before);
          awaitChanges();
        }
      }

      assertThat(4 - entries.size()).isEqualTo(3);
      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 503");
    }

    /** Guards against executing a non-idempotent request twice. */
    @Test
    void doesNotRetryANonIdempotentRequest() throws Exception {
      configure(1, "k1");
      ScriptedServer failingServer = serve("plain", (request, out, socket) -> socket.close());
      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 502");
      assertThat(failingServer.requests()).hasSize(1);
    }

    /** Guards against rejecting a request that another server could have processed. */
    @Test
    void retriesARequestThatAServerRefused() throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) ->
              ScriptedServer.write(
                  out, "HTTP/1.1 503 S\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n"));
      serve(
          "plain", (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok"));
      for (int i = 0; i < 5; i++) {
        assertThat(call("POST", "/write/x", "key: k1\r\n")).contains("ok");
      }
    }

    /** Guards against a refusal that says that a request was not executed although it was. */
    @Test
    void doesNotRefuseARequestThatWasExecuted() throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) -> ScriptedServer.sendResponse(out, request, 500, "own failure"));
      long elapsedMillis =
          shortestMillis(
              100,
              () -> {
                String response = call("GET", "/read/x", "key: k1\r\n");
                assertThat(response).startsWith("HTTP/1.1 500");
                assertThat(response).contains("own failure");
              });

      assertThat(elapsedMillis).isLessThan(100);
    }

    /** Guards against the same refusal when the other server has no room for the retry. */
    @Test
    void doesNotRefuseAnExecutedRequestForWantOfRoom() throws Exception {
      configure(1, "k1");
      serve("plain", (request, out, socket) -> socket.close());
      serve("plain", (request, out, socket) -> Thread.sleep(5_000));
      for (int i = 0; i < 12; i++) {
        CompletableFuture.runAsync(() -> callQuietly("/read/x"));
      }
      Thread.sleep(50);
      for (int i = 0; i < 3; i++) {
        int before = servers.get(0).requests().size();
        String response = call("GET", "/read/x", "key: k1\r\n");
        if (servers.get(0).requests().size() > before) {
          assertThat(response).doesNotContain("HTTP/1.1 503");
        }
      }
    }

    private void callQuietly(String target) {
      try {
        call("GET", target, "key: k1\r\n");
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Guards against forwarding a successful response that is not signed by the server. */
    @Test
    void rejectsUnsignedResponses() throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) ->
              ScriptedServer.write(out, "HTTP/1.1 200 S\r\nid: r1\r\nContent-Length: 2\r\n\r\nok"));
      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 502");
    }

    /** Guards against callers that wait longer than their timeout. */
    @Test
    void answers504AtTheDeadline() throws Exception {
      configure(1, "k1");
      serve("plain", (request, out, socket) -> Thread.sleep(5_000));
      long elapsedMillis =
          shortestMillis(
              700,
              () ->
                  assertThat(call("POST", "/write/x", "key: k1\r\npatience: 300\r\n"))
                      .startsWith("HTTP/1.1 504"));

      assertThat(elapsedMillis).isLessThan(700);
    }
  }
}
