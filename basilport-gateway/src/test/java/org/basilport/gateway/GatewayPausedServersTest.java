package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilport.policy.dispatch.StoreRead;
import org.junit.jupiter.api.Test;

/** Servers that refuse requests and say for how long they want no others. */
class GatewayPausedServersTest extends GatewayFixture {
  /** Requests within a pause that a server tolerates. */
  private static final int MAX_REQUESTS_IN_A_PAUSE = 2;

  /** Time after a refusal in which requests may be on their way to the server. */
  private static final long ON_THEIR_WAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final double PAUSE_SECONDS = 3;

  /** Callers of four servers with six slots each, so that each server is needed. */
  private static final int CALLERS = 20;

  /** Requests that one instance may have at a server, nine tenths of its ten connections. */
  private static final int ROOM = 9;

  private static final long SERVICE_MILLIS = 60;
  private static final long CALL_INTERVAL_MILLIS = 10;

  /** Time for which a request may wait: 0.8 of the target latency of 150 ms. */
  private static final long QUEUE_TIMEOUT_MILLIS = 120;

  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger calls = new AtomicInteger();

  /** Server that refuses requests during its pause, and counts all by its own clock. */
  private static final class PausingServer {
    private final int refusalInterval;
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();
    private volatile long firstRefusalNanos;

    /** Creates a server that refuses one request of {@code refusalInterval}. */
    PausingServer(int refusalInterval) {
      this.refusalInterval = refusalInterval;
    }

    void respond(ScriptedServer.Request request, java.io.OutputStream out) throws IOException {
      long now = System.nanoTime();
      arrivals.add(now);
      if (firstRefusalNanos == 0 && arrivals.size() % refusalInterval == 0) {
        firstRefusalNanos = now;
      }
      double left = PAUSE_SECONDS - (now - firstRefusalNanos) / 1e9;
      if (left > 0 && arrivals.size() % refusalInterval == 0) {
        ScriptedServer.sendResponse(
            out, request, 503, "not-run: 1\r\npause: " + left + "\r\n", "busy");
      } else {
        ScriptedServer.sendResponse(out, request, 200, "ok");
      }
    }

    int requestsInThePause() {
      long from = firstRefusalNanos + ON_THEIR_WAY_NANOS;
      long to = firstRefusalNanos + Math.round(PAUSE_SECONDS * 1e9);
      return (int) arrivals.stream().filter(at -> at - from > 0 && to - at > 0).count();
    }
  }

  private PausingServer servePausing(int refusalInterval) throws IOException {
    PausingServer server = new PausingServer(refusalInterval);
    serve("plain", (request, out, socket) -> server.respond(request, out));
    return server;
  }

  private String read() throws IOException {
    return callAs("r" + ids.incrementAndGet(), "GET", "/read/x", "key: k1\r\n");
  }

  private void load(long millis) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    List<Future<?>> ended = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      ended.add(
          callers.submit(
              () -> {
                while (end - System.nanoTime() > 0) {
                  gateway.recordConfigurationRead(
                      new StoreRead(0, System.nanoTime(), System.currentTimeMillis()));
                  calls.incrementAndGet();
                  served.addAndGet(read().startsWith("HTTP/1.1 200") ? 1 : 0);
                  TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
                }
                return null;
              }));
    }
    for (Future<?> future : ended) {
      future.get(20, TimeUnit.SECONDS);
    }
    callers.shutdown();
  }

  private static long pauseMillis(double share) {
    return Math.round(share * PAUSE_SECONDS * 1_000);
  }

  /** Guards against requests to the one server of four that wants none for a while. */
  @Test
  void getNothingWhileOthersServe() throws Exception {
    configure(1, "k1");
    PausingServer pausing = servePausing(2);
    for (int i = 0; i < 3; i++) {
      serve(
          "plain",
          (request, out, socket) -> {
            TimeUnit.MILLISECONDS.sleep(SERVICE_MILLIS);
            ScriptedServer.sendResponse(out, request, 200, "ok");
          });
    }
    load(pauseMillis(1));

    assertThat(pausing.firstRefusalNanos).isNotEqualTo(0);
    assertThat(pausing.requestsInThePause()).isAtMost(MAX_REQUESTS_IN_A_PAUSE);
    assertThat(served.get()).isEqualTo(calls.get());
  }

  /** Guards against requests that are tried at servers of which none wants any. */
  @Test
  void getNothingIfAllOfThemPause() throws Exception {
    configure(1, "k1");
    List<PausingServer> pausing = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      pausing.add(servePausing(1));
    }
    load(pauseMillis(0.8));
    long start = System.nanoTime();
    String response = read();
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);

    for (PausingServer server : pausing) {
      assertThat(server.firstRefusalNanos).isNotEqualTo(0);
      assertThat(server.requestsInThePause()).isAtMost(MAX_REQUESTS_IN_A_PAUSE);
    }
    assertThat(response).startsWith("HTTP/1.1 503");
    assertThat(elapsedMillis).isLessThan(QUEUE_TIMEOUT_MILLIS);
    double retryAfter =
        Double.parseDouble(response.replaceAll("(?s).*retry-after: ([0-9.]+).*", "$1"));
    TimeUnit.NANOSECONDS.sleep(Math.round(retryAfter * 1e9));
    gateway.recordConfigurationRead(
        new StoreRead(0, System.nanoTime(), System.currentTimeMillis()));
    assertThat(read()).startsWith("HTTP/1.1 200");
  }

  private ScriptedServer serveRefusing(String pause) throws IOException {
    return serve(
        "plain",
        (request, out, socket) ->
            ScriptedServer.sendResponse(
                out, request, 503, "not-run: 1\r\npause: " + pause + "\r\n", "busy"));
  }

  /** Guards against forgetting a pause when the entry of the server is written again. */
  @Test
  void getNothingIfOnlyTheirEntryReturns() throws Exception {
    configure(1, "k1");
    ScriptedServer server = serveRefusing("30");
    read();
    gateway.updateServers(List.of(), "test");
    gateway.updateServers(entries, "test");

    assertThat(read()).startsWith("HTTP/1.1 503");
    assertThat(server.requests()).hasSize(1);
  }

  /** Guards against a server that no request reaches again after a value that is too large. */
  @Test
  void areUsedAtOnceByAnotherStartUnderTheSameId() throws Exception {
    configure(1, "k1");
    ScriptedServer server = serveRefusing("1e9");
    read();
    assertThat(read()).startsWith("HTTP/1.1 503");
    assertThat(server.requests()).hasSize(1);
    gateway.updateServers(List.of(restarted(entries.get(0))), "test");
    read();

    assertThat(server.requests()).hasSize(2);
  }

  /** Guards against queued requests that wait although the pause outlasts them. */
  @Test
  void rejectQueuedRequestsAtOnce() throws Exception {
    useLongQueueTimeout();
    configure(1, "k1");
    AtomicInteger answers = new AtomicInteger();
    CountDownLatch allRejected = new CountDownLatch(CALLERS - ROOM + 1);
    serve(
        "plain",
        (request, out, socket) -> {
          boolean first = answers.incrementAndGet() == 1;
          if (first) {
            await(() -> answers.get() == ROOM && waitingRequests() == CALLERS - ROOM);
          } else {
            allRejected.await(20, TimeUnit.SECONDS);
          }
          ScriptedServer.sendResponse(
              out, request, first ? 503 : 200, first ? "not-run: 1\r\npause: 30\r\n" : "", "ok");
        });
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    List<Future<String>> responses = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      responses.add(
          callers.submit(
              () -> {
                String response = read();
                if (response.contains("or pause")) {
                  allRejected.countDown();
                }
                return response;
              }));
    }
    // The other requests at the server are answered only then, or after the timeout.
    assertThat(allRejected.await(15, TimeUnit.SECONDS)).isTrue();
    int rejected = 0;
    for (Future<String> response : responses) {
      rejected += response.get(20, TimeUnit.SECONDS).contains("or pause") ? 1 : 0;
    }
    callers.shutdown();

    assertThat(answers.get()).isEqualTo(ROOM);
    assertThat(rejected).isEqualTo(CALLERS - ROOM + 1);
  }

  /** Guards against requests to a paused engine, which another selector chooses. */
  @Test
  void getNoStreams() throws Exception {
    configure(1, "k1");
    ScriptedServer pausing =
        serve(
            "model",
            (request, out, socket) ->
                ScriptedServer.sendResponse(
                    out, request, 503, "not-run: 1\r\npause: 30\r\n", "busy"));
    callAs("s1", "POST", "/stream/x", "key: k1\r\ntokens: 100\r\n");
    serve(
        "model",
        (request, out, socket) -> {
          ScriptedServer.startStream(out, request);
          ScriptedServer.writeEvents(out, 1, 2);
          ScriptedServer.endStream(out);
        });
    for (int i = 0; i < CALLERS; i++) {
      assertThat(callAs("t" + i, "POST", "/stream/x", "key: k1\r\ntokens: 100\r\n"))
          .contains("data: t2");
    }

    assertThat(pausing.requests()).hasSize(1);
  }

  /** Guards against an instance that does not serve after a restart in the middle of a pause. */
  @Test
  void areAskedAgainByAnInstanceThatRestarted() throws Exception {
    configure(1, "k1");
    PausingServer pausing = servePausing(1);
    load(pauseMillis(0.3));
    gateway.stop().get(5, TimeUnit.SECONDS);
    start();
    configure(1, "k1");
    gateway.updateServers(entries, "test");
    long restartNanos = System.nanoTime();
    load(pauseMillis(0.9));

    int before = (int) pausing.arrivals.stream().filter(at -> restartNanos - at > 0).count();
    assertThat(before).isAtLeast(1);
    assertThat(pausing.arrivals.size()).isGreaterThan(before);
    assertThat(read()).startsWith("HTTP/1.1 200");
  }
}
