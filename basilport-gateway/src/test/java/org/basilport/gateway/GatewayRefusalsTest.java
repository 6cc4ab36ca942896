package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Statuses that state that a request was not executed. */
class GatewayRefusalsTest extends GatewayFixture {
  private static final int[] PROMISES = {408, 429, 503};

  @Nested
  class ServersThatDoNotSayWhetherTheyRanARequest {
    private final AtomicInteger status = new AtomicInteger();

    private void serveStatus(String service) throws Exception {
      configure(1, "k1");
      serve(
          service,
          (request, out, socket) -> ScriptedServer.sendResponse(out, request, status.get(), ""));
    }

    /** Guards against a promise to the caller that its server has not made. */
    @Test
    void doNotMakeTheInstanceRefuseACall() throws Exception {
      serveStatus("plain");
      for (int promise : PROMISES) {
        status.set(promise);
        assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 502");
      }
      assertThat(servers.get(0).requests()).hasSize(PROMISES.length);
    }

    /** Guards against the same promise in place of a stream. */
    @Test
    void doNotMakeTheInstanceRefuseAStream() throws Exception {
      serveStatus("model");
      for (int promise : PROMISES) {
        status.set(promise);
        assertThat(call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n"))
            .startsWith("HTTP/1.1 502");
      }
      assertThat(servers.get(0).requests()).hasSize(PROMISES.length);
    }
  }

  /** A faulty server writes a refusal once more on a kept connection. */
  @Nested
  class RefusalsThatAreWrittenTwice {
    private static final String REFUSAL =
        "HTTP/1.1 503 S\r\nid: r1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

    private final AtomicInteger runs = new AtomicInteger();
    private final Set<Socket> refusing = ConcurrentHashMap.newKeySet();

    /** Refuses the first request; later ones run, after another refusal on the same connection. */
    private void respond(ScriptedServer.Request request, OutputStream out, Socket socket)
        throws IOException {
      if (refusing.isEmpty()) {
        refusing.add(socket);
        ScriptedServer.write(out, REFUSAL);
        return;
      }
      runs.incrementAndGet();
      if (refusing.contains(socket)) {
        ScriptedServer.write(out, REFUSAL);
      }
      ScriptedServer.sendResponse(out, request, 200, "done");
    }

    /** Guards against the promise that a request has not run, made for an earlier attempt. */
    @Test
    void areNotTakenForAnswersToALaterAttemptWithTheSameId() throws Exception {
      configure(1, "k1");
      serve("plain", this::respond);
      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 503");

      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 200");
      assertThat(runs.get()).isEqualTo(1);
    }

    /** Guards against the same promise to the next request on the connection. */
    @Test
    void areNotTakenForAnswersToAnotherRequest() throws Exception {
      configure(1, "k1");
      serve("plain", this::respond);
      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 503");

      assertThat(callAs("r2", "POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 200");
      assertThat(runs.get()).isEqualTo(1);
    }
  }
}
