package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventType;
import org.junit.jupiter.api.Test;

/** Streams and their moves while data centres are evacuated. */
class GatewayEvacuatedStreamsTest extends EvacuationFixture {
  private final CountDownLatch ended = new CountDownLatch(1);
  private final List<String> continuations = new CopyOnWriteArrayList<>();
  private volatile boolean stopped;

  /** Runs at the source, after the last copy and before its answer. */
  private volatile Step onLastCopy = () -> {};

  /** Runs at the first engine that refuses a continuation, before its answer. */
  private volatile Step onRefusal = () -> {};

  private volatile boolean refusesContinuations;

  private interface Step {
    void run() throws IOException;
  }

  /** Engine of a data centre, whose streams have five events and stop after three. */
  private final class Engine implements ScriptedServer.Script {
    private final String dataCentre;

    Engine(String dataCentre) {
      this.dataCentre = dataCentre;
    }

    @Override
    public void respond(ScriptedServer.Request request, OutputStream out, Socket socket)
        throws IOException, InterruptedException {
      if (request.line().startsWith("POST /move/")) {
        copy(request, out);
      } else if (request.headers().containsKey("memory")) {
        continuations.add(dataCentre);
        if (refusesContinuations) {
          refusesContinuations = false;
          onRefusal.run();
          ScriptedServer.sendResponse(out, request, 503, "not-run: 1\r\n", "busy");
        } else {
          end(request, out);
        }
      } else if (request.headers().containsKey("after")) {
        continuations.add(dataCentre + " after " + request.headers().get("after"));
        end(request, out);
      } else {
        ScriptedServer.startStream(out, request);
        ScriptedServer.writeEvents(out, 1, 3);
        ended.await(20, TimeUnit.SECONDS);
        if (stopped) {
          socket.close();
        } else {
          ScriptedServer.writeEvents(out, 4, 5);
          ScriptedServer.endStream(out);
        }
      }
    }

    private void copy(ScriptedServer.Request request, OutputStream out) throws IOException {
      boolean last = request.line().contains("/true");
      if (last) {
        onLastCopy.run();
      }
      ScriptedServer.sendResponse(out, request, 200, last ? "handle-1" : "handle-0");
      if (last) {
        stopped = true;
        ended.countDown();
      }
    }

    private void end(ScriptedServer.Request request, OutputStream out) throws IOException {
      ScriptedServer.startStream(out, request);
      ScriptedServer.writeEvents(out, 4, 5);
      ScriptedServer.endStream(out);
    }
  }

  private ScriptedServer serveEngine(String dataCentre) throws IOException {
    return serveIn(dataCentre, "model", new Engine(dataCentre));
  }

  private void leave(int index) {
    entries.set(index, leaving(entries.get(index)));
    gateway.updateServers(entries, "test");
  }

  /** Starts a stream at the only engine, which is in data centre "a". */
  private CompletableFuture<String> startStream(String path) throws IOException {
    ScriptedServer source = serveEngine("a");
    CompletableFuture<String> stream = startCall("s1", "POST", path);
    await(() -> !source.requests().isEmpty());
    return stream;
  }

  private static void assertComplete(String response) {
    assertThat(response.replaceAll("(?s).*?(data: t\\d).*?", "$1 "))
        .startsWith("data: t1 data: t2 data: t3 data: t4 data: t5");
    assertThat(response).endsWith("0\r\n\r\n");
  }

  /** Guards against cutting streams that run in a data centre when it is evacuated. */
  @Test
  void continueWhereTheyRun() throws Exception {
    CompletableFuture<String> stream = startStream("/stream/x");
    evacuate("a");
    assertRejected(callAs("s2", "POST", "/stream/x", "tokens: 100\r\n"));
    ended.countDown();

    assertComplete(stream.get(30, TimeUnit.SECONDS));
  }

  /** Guards against a move to an engine whose data centre is evacuated. */
  @Test
  void areNotMovedToEvacuatedEngines() throws Exception {
    CompletableFuture<String> stream = startStream("/stream/x");
    evacuate("b");
    ScriptedServer target = serveEngine("b");
    leave(0);
    await(() -> events.contains(EventType.MOVE_FAILED));
    ended.countDown();

    assertComplete(stream.get(30, TimeUnit.SECONDS));
    assertThat(target.connections()).isEqualTo(0);
  }

  /** Guards against a continuation at a target that was evacuated since its choice. */
  @Test
  void resumeAtTheSourceIfTheTargetIsEvacuated() throws Exception {
    CompletableFuture<String> stream = startStream("/stream/x");
    onLastCopy = () -> evacuate("b");
    ScriptedServer target = serveEngine("b");
    leave(0);

    assertComplete(stream.get(30, TimeUnit.SECONDS));
    assertThat(target.requests()).isEmpty();
    assertThat(continuations).containsExactly("a");
  }

  /** Guards against a continuation with a KV cache at a source that is evacuated too. */
  @Test
  void resumeElsewhereIfTargetAndSourceAreEvacuated() throws Exception {
    CompletableFuture<String> stream = startStream("/resume/x");
    onLastCopy =
        () -> {
          serveEngine("c");
          evacuate("a", "b");
        };
    serveEngine("b");
    leave(0);

    assertComplete(stream.get(30, TimeUnit.SECONDS));
    assertThat(continuations).containsExactly("c after 3");
  }

  /** Guards against a resumption at an evacuated source after the target refused. */
  @Test
  void doNotReturnToAnEvacuatedSource() throws Exception {
    CompletableFuture<String> stream = startStream("/resume/x");
    refusesContinuations = true;
    onRefusal =
        () -> {
          serveEngine("c");
          evacuate("a");
        };
    serveEngine("b");
    leave(0);

    assertComplete(stream.get(30, TimeUnit.SECONDS));
    assertThat(continuations).containsExactly("b", "c after 3").inOrder();
  }
}
