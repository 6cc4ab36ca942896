package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests whose permission runs out before they are sent, and planned stops under load. */
class GatewayPermissionsTest extends GatewayFixture {
  @Nested
  class QueuedRequests {
    /** Requests that one instance may have at the narrow server, nine tenths of its connections. */
    private static final int SERVER_SHARE = NARROW_CONNECTIONS - 1;

    /** Occupies the only server, queues a request and changes the configuration meanwhile. */
    private String callDuringAChange(Runnable change, int expectedSends) throws Exception {
      useLongQueueTimeout();
      configure(1, "k1", "k2");
      CountDownLatch release = new CountDownLatch(1);
      ScriptedServer server =
          serve(
              "narrow",
              (request, out, socket) -> {
                release.await(20, TimeUnit.SECONDS);
                ScriptedServer.sendResponse(out, request, 200, "ok");
              });
      for (int i = 0; i < SERVER_SHARE; i++) {
        startCall("a" + i, "POST", "/narrow/x", "key: k1\r\n");
      }
      await(() -> server.requests().size() >= SERVER_SHARE);
      CompletableFuture<String> queued = startCall("b", "POST", "/narrow/x", "key: k2\r\n");
      await(() -> waitingRequests() == 1);
      change.run();
      awaitChanges();
      release.countDown();
      String response = queued.get(20, TimeUnit.SECONDS);
      assertThat(server.requests()).hasSize(expectedSends);
      return response;
    }

    /** Guards against sending a request whose key was withdrawn while it was queued. */
    @Test
    void doesNotSendARequestWhoseKeyWasWithdrawn() throws Exception {
      assertThat(callDuringAChange(() -> configure(2, "k1"), SERVER_SHARE))
          .startsWith("HTTP/1.1 401");
    }

    /** Guards against taking a workspace whose priority changes for one that lost its key. */
    @Test
    void sendsARequestWhoseWorkspaceChangedItsPriority() throws Exception {
      Runnable change =
          () -> {
            keyPriority = 3;
            configure(2, "k1", "k2");
          };
      assertThat(callDuringAChange(change, SERVER_SHARE + 1)).startsWith("HTTP/1.1 200");
    }
  }

  @Nested
  class Restarts {
    /** Guards against accepting a key that was withdrawn while the process was down. */
    @Test
    void acceptsNoKeyBeforeTheConfigurationIsProven() throws Exception {
      apply(1, "k1");
      ScriptedServer server =
          serve(
              "plain",
              (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok"));

      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 503");
      assertThat(server.requests()).isEmpty();
    }
  }

  @Nested
  class PlannedStops {
    private static final Duration MIN_DURATION = Duration.ofMillis(1_500);
    private static final Duration MAX_DURATION = Duration.ofMillis(20_000);

    /** Time after the minimum duration; both end before the time limit of a head, 3 s. */
    private static final long PAST_MIN_MILLIS = 400;

    private static final int CALLERS = 8;

    /** Guards against cutting a request that crosses the announcement of the stop. */
    @Test
    void answersARequestOnAnIdleConnection() throws Exception {
      configure(1, "k1");
      serve(
          "plain", (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok"));
      try (Socket socket = new Socket(frontend.getAddress(), frontend.getPort())) {
        socket.setSoTimeout(20_000);
        gateway.drain(Duration.ofSeconds(10), MAX_DURATION);
        awaitChanges();
        socket
            .getOutputStream()
            .write(
                "POST /write/x HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: k1\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
        String response =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

        assertThat(response).startsWith("HTTP/1.1 200");
        assertThat(response.toLowerCase()).contains("connection: close");
      }
    }

    /** Guards against awaiting a request on a connection whose last request came in parts. */
    @Test
    void closesAnIdleConnectionWhoseLastRequestCameInParts() throws Exception {
      configure(1, "k1");
      serve(
          "plain", (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok"));
      try (Socket socket = new Socket(frontend.getAddress(), frontend.getPort())) {
        socket.setSoTimeout(20_000);
        for (String part :
            List.of(
                "POST /write/x HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: k1\r\n"
                    + "Content-Length: 4\r\n\r\n",
                "bo",
                "dy")) {
          socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
          Thread.sleep(50);
        }
        assertThat(socket.getInputStream().read()).isEqualTo((int) 'H');
        long start = System.nanoTime();
        gateway.drain(MIN_DURATION, MAX_DURATION).get(25, TimeUnit.SECONDS);

        assertThat(System.nanoTime() - start).isLessThan(2 * MIN_DURATION.toNanos());
      }
    }

    /** Guards against closing a connection on which a request has begun to arrive. */
    @Test
    void awaitsARequestThatIsArriving() throws Exception {
      configure(1, "k1");
      serve(
          "plain", (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok"));
      try (Socket socket = new Socket(frontend.getAddress(), frontend.getPort())) {
        socket.setSoTimeout(20_000);
        gateway.drain(MIN_DURATION, MAX_DURATION);
        socket.getOutputStream().write("POST /write/x HT".getBytes(StandardCharsets.ISO_8859_1));
        Thread.sleep(MIN_DURATION.toMillis() + PAST_MIN_MILLIS);
        socket
            .getOutputStream()
            .write(
                "TP/1.1\r\nhost: h\r\nid: r1\r\nkey: k1\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
        String response =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

        assertThat(response).startsWith("HTTP/1.1 200");
      }
    }

    /** Load: callers connect again and again until the process is gone; none is cut off. */
    @Test
    void cutsOffNoAcceptedRequestUnderLoad() throws Exception {
      configure(1, "k1");
      for (int i = 0; i < 4; i++) {
        serve(
            "plain",
            (request, out, socket) -> {
              Thread.sleep(60);
              ScriptedServer.sendResponse(out, request, 200, "ok");
            });
      }
      ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
      List<Future<Long>> answers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        answers.add(callers.submit(this::answersUntilRefused));
      }
      Thread.sleep(200);
      long start = System.nanoTime();
      gateway.drain(MIN_DURATION, MAX_DURATION).get(25, TimeUnit.SECONDS);

      assertThat(System.nanoTime() - start).isLessThan(MAX_DURATION.toNanos());
      long received = 0;
      for (Future<Long> answer : answers) {
        received += answer.get(20, TimeUnit.SECONDS);
      }
      callers.shutdown();
      assertThat(received).isAtLeast(CALLERS);
      assertThat(received).isEqualTo(metrics.counter("forward.requests").getCount());
    }

    /** Calls until no connection is accepted any more; returns the number of whole answers. */
    private long answersUntilRefused() throws IOException {
      long answers = 0;
      while (true) {
        try {
          if (call("POST", "/write/x", "key: k1\r\n").startsWith("HTTP/1.1 ")) {
            answers++;
          }
        } catch (ConnectException e) {
          return answers;
        }
      }
    }
  }
}
