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
  class Refusals {
    /** Guards against a refusal without retry by an instance that has no configuration yet. */
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
    void neverAdoptsAnOlderVersion() throws Exception {
      configure(5, "k5");
      configure(4, "k4");
      assertThat(call("GET", "/none/x", "key: k4\r\n")).startsWith("HTTP/1.1 404");
      assertThat(call("GET", "/read/x", "key: k4\r\n")).startsWith("HTTP/1.1 401");
    }

    /**
     * Guards against a request that waits until its deadline although the service has no server.
     */
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
    /** Guards against failing a request that another server could have processed. */
    @Test
    void repeatsIdempotentRequests() throws Exception {
      configure(1, "k1");
      serve("plain", (request, out, socket) -> socket.close());
      serve("plain", (request, out, socket) -> ScriptedServer.answer(out, request, 200, "ok"));
      for (int i = 0; i < 5; i++) {
        assertThat(call("GET", "/read/x", "key: k1\r\n")).contains("ok");
      }
    }

    /** Guards against a server that accepts requests and never responds. */
    @Test
    void repeatsIdempotentRequestsThatAreNotAnswered() throws Exception {
      configure(1, "k1");
      serve("plain", (request, out, socket) -> Thread.sleep(5_000));
      serve("plain", (request, out, socket) -> ScriptedServer.answer(out, request, 200, "ok"));
      for (int i = 0; i < 3; i++) {
        assertThat(call("GET", "/read/x", "key: k1\r\n")).contains("ok");
      }
    }

    /** Guards against opening more connections than a server accepts, which it would reset. */
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

    /** Guards against a request that crashes one server after another. */
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

    /** Guards against executing a non-idempotent request twice. */
    @Test
    void neverRepeatsARequestThatMayHaveRun() throws Exception {
      configure(1, "k1");
      ScriptedServer broken = serve("plain", (request, out, socket) -> socket.close());
      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 502");
      assertThat(broken.requests()).hasSize(1);
    }

    /** Guards against refusing a request that another server could have processed. */
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

    /** Guards against forwarding a successful response that is not signed by the server. */
    @Test
    void passesOnNoUnsignedSuccess() throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) ->
              ScriptedServer.write(out, "HTTP/1.1 200 S\r\nid: r1\r\nContent-Length: 2\r\n\r\nok"));
      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 502");
    }

    /** Guards against callers that wait longer than their timeout. */
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
}
