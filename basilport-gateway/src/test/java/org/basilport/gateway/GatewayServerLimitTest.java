package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.StoreRead;
import org.junit.jupiter.api.Test;

/** Servers that name the number of requests a second that they accept. */
class GatewayServerLimitTest extends GatewayFixture {
  private static final double LIMIT_PER_SECOND = 2;
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Requests within a window that the server tolerates: one and a half times the limit, and 5. */
  private static final int MAX_REQUESTS = (int) (1.5 * LIMIT_PER_SECOND * 4) + 5;

  /** Time after which all instances must keep a limit. */
  private static final long CONTACT_MILLIS = 3_000;

  /** Time for which a request of the route may wait: 0.8 of its target latency of 150 ms. */
  private static final long QUEUE_TIMEOUT_MILLIS = 120;

  private static final int CALLS = 90;
  private static final long CALL_INTERVAL_MILLIS = 40;

  private final List<Long> limitedArrivals = new CopyOnWriteArrayList<>();

  private void serveLimited(double perSecond) throws Exception {
    serve(
        "plain",
        (request, out, socket) -> {
          limitedArrivals.add(System.nanoTime());
          ScriptedServer.write(
              out,
              "HTTP/1.1 200 S\r\nid: "
                  + request.id()
                  + "\r\nseal: s\r\nlimit: "
                  + perSecond
                  + "\r\nContent-Length: 2\r\n\r\nok");
        });
  }

  private int mostInAWindow(long startNanos) {
    List<Long> arrivals = new ArrayList<>(limitedArrivals);
    arrivals.removeIf(at -> at - startNanos < 0);
    int most = 0;
    for (long start : arrivals) {
      int count = 0;
      for (long at : arrivals) {
        count += at - start >= 0 && at - start < WINDOW_NANOS ? 1 : 0;
      }
      most = Math.max(most, count);
    }
    return most;
  }

  /** Guards against sending a server more requests than the limit that it names. */
  @Test
  void keepsTheLimitThatAServerNames() throws Exception {
    configure(1, "k1");
    serveLimited(LIMIT_PER_SECOND);
    while (limitedArrivals.isEmpty()) {
      call("POST", "/write/x", "key: k1\r\n");
    }
    serve("plain", (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok"));
    TimeUnit.MILLISECONDS.sleep(CONTACT_MILLIS);
    long start = System.nanoTime();
    int served = 0;
    for (int i = 0; i < CALLS; i++) {
      gateway.recordConfigurationRead(
          new StoreRead(0, System.nanoTime(), System.currentTimeMillis()));
      served += call("POST", "/write/x", "key: k1\r\n").startsWith("HTTP/1.1 200") ? 1 : 0;
      TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
    }

    assertThat(mostInAWindow(start)).isAtMost(MAX_REQUESTS);
    assertThat(served).isEqualTo(CALLS);
  }

  /** Guards against a request that waits until its time limit for a permit that comes later. */
  @Test
  void rejectsAtOnceWhatNoPermitCanReach() throws Exception {
    configure(1, "k1");
    serveLimited(0.2);
    call("POST", "/write/x", "key: k1\r\n");
    long elapsedMillis =
        shortestMillis(
            QUEUE_TIMEOUT_MILLIS,
            () -> {
              String response = call("POST", "/write/x", "key: k1\r\n");
              assertThat(response).startsWith("HTTP/1.1 503");
              assertThat(response).contains("limit their requests");
            });

    assertThat(elapsedMillis).isLessThan(QUEUE_TIMEOUT_MILLIS);
    assertThat(limitedArrivals).hasSize(1);
  }

  /** Guards against queued requests that miss the permits for which they wait. */
  @Test
  void sendsQueuedRequestsAtTheirPermits() throws Exception {
    configure(1, "k1");
    serveLimited(20);
    for (int i = 0; i < 10; i++) {
      assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 200");
    }
  }
}
