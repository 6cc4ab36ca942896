package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import org.basilport.gateway.peer.FleetClaims;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Streams that go on while servers of several software versions serve. */
class GatewayVersionsTest extends GatewayFixture {
  private static final String HEADERS = "key: k1\r\ntokens: 100\r\n";

  /** Begins a stream with two events and fails; continues one up to its end. */
  private static final ScriptedServer.Script FAILING =
      (request, out, socket) -> {
        ScriptedServer.startStream(out, request);
        if (request.headers().containsKey("after")) {
          ScriptedServer.writeEvents(out, 3, 4);
          ScriptedServer.endStream(out);
          return;
        }
        ScriptedServer.writeEvents(out, 1, 2);
        Thread.sleep(50);
        socket.close();
      };

  @Nested
  class Continuations {
    /** Guards against a stream that is joined from two versions after its server failed. */
    @Test
    void doNotGoOnAtAnotherVersion() throws Exception {
      configure(1, "k1");
      serve(
          "model",
          "v1",
          (request, out, socket) -> {
            serve("model", "v2", FAILING);
            FAILING.respond(request, out, socket);
          });
      String response = call("POST", "/resume/x", HEADERS);

      assertThat(response).doesNotContain("data: t3");
      assertThat(servers.get(0).requests()).hasSize(1);
      assertThat(servers.get(1).requests()).isEmpty();
    }

    /** Guards against losing a stream although another server of its version serves. */
    @Test
    void goOnAtAnotherServerOfTheirVersion() throws Exception {
      configure(1, "k1");
      serve("model", "v1", FAILING);
      serve("model", "v1", FAILING);
      String response = call("POST", "/resume/x", HEADERS);

      assertThat(response).contains("data: t4");
    }
  }

  @Nested
  class TakeUps {
    private String takeUp(String id, String key, String resumes) throws IOException {
      return callAs(
          id, "POST", "/resume/x", "key: " + key + "\r\ntokens: 100\r\nafter: 2\r\n" + resumes);
    }

    /** Serves two versions, the second one only after a stream has begun at the first one. */
    private ScriptedServer beginAtFirstVersion() throws Exception {
      configure(1, "k1", "k2");
      serve("model", "v1", FAILING);
      assertThat(callAs("r1", "POST", "/resume/x", HEADERS)).doesNotContain("data: t3");
      return serve("model", "v2", FAILING);
    }

    /** Guards against a take-up that is joined at another version. */
    @Test
    void goOnAtTheVersionThatBegan() throws Exception {
      ScriptedServer other = beginAtFirstVersion();
      for (int i = 0; i < 8; i++) {
        assertThat(takeUp("t" + i, "k1", "resumes: r1\r\n")).contains("data: t4");
      }

      assertThat(other.requests()).isEmpty();
    }

    /** Guards against joining streams that nobody, or another workspace, began. */
    @Test
    void areRefusedAtOnceIfTheVersionIsNotKnown() throws Exception {
      beginAtFirstVersion();
      int sentBefore = servers.get(0).requests().size();

      assertThat(takeUp("t1", "k1", "resumes: nobody\r\n")).startsWith("HTTP/1.1 503");
      assertThat(takeUp("t2", "k1", "")).startsWith("HTTP/1.1 503");
      otherWorkspace = "k2";
      configure(2, "k1", "k2");
      assertThat(takeUp("t3", "k2", "resumes: r1\r\n")).startsWith("HTTP/1.1 503");
      assertThat(servers.get(0).requests()).hasSize(sentBefore);
      assertThat(servers.get(1).requests()).isEmpty();
    }

    /** Guards against waiting for a version whose last server has left. */
    @Test
    void areRefusedAtOnceIfTheirVersionHasLeft() throws Exception {
      ScriptedServer other = beginAtFirstVersion();
      gateway.updateServers(entries.subList(1, 2), "test");

      String response = takeUp("t1", "k1", "resumes: r1\r\n");
      assertThat(response).startsWith("HTTP/1.1 503");
      assertThat(response).doesNotContain("retry-after");
      assertThat(other.requests()).isEmpty();
    }

    /** Guards against losing take-ups while only one version has served. */
    @Test
    void goOnWhileOnlyOneVersionHasServed() throws Exception {
      configure(1, "k1");
      serve("model", "v1", FAILING);
      gateway.addFormerClaims(new FleetClaims(0, Map.of("model", Set.of("v1"))));

      assertThat(takeUp("t1", "k1", "resumes: elsewhere\r\n")).contains("data: t4");
    }
  }
}
