package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilport.policy.dispatch.StoreRead;
import org.junit.jupiter.api.Test;

/** Engines that crash as soon as they begin an answer to a prompt that contains a certain part. */
class GatewayCrashingPartsTest extends GatewayFixture {
  private static final int SERVERS = 14;

  /** Crashes after which the part is known to crash servers. */
  private static final int KNOWN_CRASHES = 5;

  /** Time after which all instances must act on what is known. */
  private static final long CONTACT_MILLIS = 3_000;

  /** Requests with the part that may still reach servers. */
  private static final int MAX_LATE_REQUESTS = 3;

  private static final int LATE_REQUESTS = 6;

  private final AtomicInteger crashes = new AtomicInteger();

  private void serveCrashingEngines() throws IOException {
    List<ScriptedServer> engines = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      int index = i;
      engines.add(
          serve(
              "model",
              (request, out, socket) -> {
                ScriptedServer.startStream(out, request);
                if (request.line().contains("/crash-")) {
                  Thread.sleep(20);
                  crashes.incrementAndGet();
                  engines.get(index).close();
                  return;
                }
                ScriptedServer.writeEvents(out, 1, 3);
                ScriptedServer.endStream(out);
              }));
    }
  }

  private String callWithPart(String target, String part) throws IOException {
    return call(
        "POST", "/stream/" + target, "key: k1\r\ntokens: 100\r\nparts: shared," + part + "\r\n");
  }

  /** Guards against a prompt part that crashes one engine after another in different requests. */
  @Test
  void stopsDifferentRequestsWithAPartThatCrashedFiveServers() throws Exception {
    configure(1, "k1");
    serveCrashingEngines();
    assertThat(callWithPart("sound-0", "other")).startsWith("HTTP/1.1 200");
    for (int i = 0; crashes.get() < KNOWN_CRASHES; i++) {
      callWithPart("crash-" + i, "crashing");
      callWithPart("sound-" + i, "other");
    }
    TimeUnit.MILLISECONDS.sleep(CONTACT_MILLIS);
    gateway.recordConfigurationRead(
        new StoreRead(0, System.nanoTime(), System.currentTimeMillis()));
    int crashesBefore = crashes.get();
    for (int i = 0; i < LATE_REQUESTS; i++) {
      callWithPart("crash-late-" + i, "crashing");
    }

    assertThat(crashes.get() - crashesBefore).isAtMost(MAX_LATE_REQUESTS);
    for (int i = 0; i < LATE_REQUESTS; i++) {
      assertThat(callWithPart("sound-late-" + i, "other")).startsWith("HTTP/1.1 200");
    }
  }
}
