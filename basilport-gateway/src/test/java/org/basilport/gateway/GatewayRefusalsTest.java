package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

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
}
