package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.basilport.gateway.backend.ServerEntry;
import org.junit.jupiter.api.Test;

/** Entries of the directory that another writer made odd. */
class GatewayOddEntriesTest extends GatewayFixture {
  private static ServerEntry odd(ServerEntry entry) {
    return new ServerEntry(
        "odd",
        entry.incarnation(),
        entry.service(),
        entry.version(),
        entry.host(),
        1,
        entry.dataCentre(),
        0,
        false,
        Duration.ofSeconds(Long.MAX_VALUE));
  }

  /** Guards against a time that no timer can represent, after which no server is added. */
  @Test
  void costOnlyThemselves() throws Exception {
    configure(1, "k1");
    ScriptedServer server =
        serve(
            "plain", (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "x"));
    gateway.updateServers(List.of(), "test");
    gateway.updateServers(List.of(odd(entries.get(0)), restarted(entries.get(0))), "test");

    assertThat(call("GET", "/read/x", "key: k1\r\n")).startsWith("HTTP/1.1 200");
    assertThat(server.requests()).isNotEmpty();
  }
}
