package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilport.gateway.backend.ServerEntry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Moves streams whose copy or continuation fails at one of the two engines. */
class GatewayInterruptedMovesTest extends GatewayFixture {
  private static final int LAST_EVENT = 5;

  /** Runs that began at the beginning, at all engines. */
  private final AtomicInteger runs = new AtomicInteger();

  /** Ids after which streams went on without a copy. */
  private final List<String> resumedAfter = new CopyOnWriteArrayList<>();

  /** Number of requests for a last copy, by the address of the target. */
  private final Map<String, Integer> lastCopies = new ConcurrentHashMap<>();

  /** Counted down when the source has written the first events. */
  private final CountDownLatch written = new CountDownLatch(1);

  /** Whether the source stays in the directory, so that its connections are kept. */
  private boolean listedWhileLeaving;

  /** Connections on which a first copy was answered. */
  private final Set<Socket> firstCopyConnections = ConcurrentHashMap.newKeySet();

  /** Handles with which continuations were sent. */
  private final List<String> usedHandles = new CopyOnWriteArrayList<>();

  GatewayInterruptedMovesTest() {
    useLongLimits();
  }

  /** Engine that generates until it is stopped; a test overrides the step that fails. */
  private class Engine implements ScriptedServer.Script {
    volatile Socket stream;

    @Override
    public final void respond(ScriptedServer.Request request, OutputStream out, Socket socket)
        throws IOException, InterruptedException {
      if (request.line().startsWith("POST /move/")) {
        if (request.line().contains("/true")) {
          lastCopies.merge(request.headers().get("target"), 1, Integer::sum);
          copyLast(request, out, socket);
        } else {
          ScriptedServer.sendResponse(out, request, 200, "handle-0");
          firstCopyConnections.add(socket);
        }
      } else if (request.headers().containsKey("memory")) {
        usedHandles.add(request.headers().get("memory"));
        continueFromCopy(request, out, socket);
      } else if (request.headers().containsKey("after")) {
        resumedAfter.add(request.headers().get("after"));
        resume(request, out);
      } else {
        runs.incrementAndGet();
        stream = socket;
        begin(request, out);
        written.countDown();
        TimeUnit.SECONDS.sleep(5);
      }
    }

    void begin(ScriptedServer.Request request, OutputStream out) throws IOException {
      ScriptedServer.startStream(out, request);
      ScriptedServer.writeEvents(out, 1, 3);
    }

    void copyLast(ScriptedServer.Request request, OutputStream out, Socket socket)
        throws IOException, InterruptedException {
      stream.close();
      ScriptedServer.sendResponse(out, request, 200, "handle-1");
    }

    void continueFromCopy(ScriptedServer.Request request, OutputStream out, Socket socket)
        throws IOException, InterruptedException {
      finish(request, out);
    }

    void resume(ScriptedServer.Request request, OutputStream out)
        throws IOException, InterruptedException {
      finish(request, out);
    }

    final void finish(ScriptedServer.Request request, OutputStream out) throws IOException {
      ScriptedServer.startStream(out, request);
      ScriptedServer.writeEvents(out, 4, LAST_EVENT);
      ScriptedServer.endStream(out);
    }

    final void refuse(ScriptedServer.Request request, OutputStream out) throws IOException {
      ScriptedServer.write(
          out,
          "HTTP/1.1 503 S\r\nid: " + request.id() + "\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n");
    }
  }

  /** Streams from the first engine, which leaves while the others could receive the generation. */
  private String streamFromALeavingEngine(String path, Engine source, Engine... targets)
      throws Exception {
    configure(1, "k1");
    serve("model", source);
    CompletableFuture<String> response =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return call("POST", path, "key: k1\r\ntokens: 100\r\n");
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    await(() -> written.getCount() == 0);
    awaitFirstEvents(path.replace("x", ""), 1);
    for (Engine target : targets) {
      serve("model", target);
    }
    List<ServerEntry> listed = new ArrayList<>(entries.subList(1, entries.size()));
    if (listedWhileLeaving) {
      listed.add(leaving(entries.get(0)));
    }
    gateway.updateServers(listed, "test");
    return response.get(30, TimeUnit.SECONDS);
  }

  private static void assertComplete(String response) {
    assertThat(response.replaceAll("(?s).*?(data: t\\d).*?", "$1 "))
        .startsWith("data: t1 data: t2 data: t3 data: t4 data: t5");
    assertThat(response).endsWith("0\r\n\r\n");
  }

  @Nested
  class LastCopies {
    /** Guards against stopping a generation for a target that has failed its last copy before. */
    @Test
    void areNotRepeatedToATargetThatFailedOne() throws Exception {
      Engine source =
          new Engine() {
            @Override
            void copyLast(ScriptedServer.Request request, OutputStream out, Socket socket)
                throws IOException {
              stream.close();
              ScriptedServer.sendResponse(out, request, 503, "handle-1");
            }

            @Override
            void continueFromCopy(ScriptedServer.Request request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
              stream = socket;
              if (lastCopies.size() < 2) {
                ScriptedServer.startStream(out, request);
                return;
              }
              // A move that goes on would request another copy after 100 ms.
              TimeUnit.MILLISECONDS.sleep(500);
              finish(request, out);
            }
          };
      String response = streamFromALeavingEngine("/stream/x", source, new Engine(), new Engine());

      assertThat(runs.get()).isEqualTo(1);
      assertComplete(response);
      assertThat(lastCopies.values()).containsExactly(1, 1);
    }

    /** Guards against waiting for the end of a stream that its stopped source cannot send. */
    @Test
    void areUsedIfTheSourceDoesNotCloseItsStream() throws Exception {
      Engine source =
          new Engine() {
            @Override
            void copyLast(ScriptedServer.Request request, OutputStream out, Socket socket)
                throws IOException {
              ScriptedServer.sendResponse(out, request, 200, "handle-1");
            }
          };
      String response = streamFromALeavingEngine("/stream/x", source, new Engine());

      assertThat(runs.get()).isEqualTo(1);
      assertComplete(response);
    }

    /** Guards against a late second answer to the first copy in place of the one to the last. */
    @Test
    void areNotTakenForAnsweredByASecondAnswerToTheFirst() throws Exception {
      listedWhileLeaving = true;
      Engine source =
          new Engine() {
            @Override
            void copyLast(ScriptedServer.Request request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
              if (firstCopyConnections.contains(socket)) {
                ScriptedServer.sendResponse(out, request, 200, "handle-0");
              }
              super.copyLast(request, out, socket);
            }
          };
      String response = streamFromALeavingEngine("/stream/x", source, new Engine());

      assertThat(usedHandles).containsExactly("handle-1");
      assertComplete(response);
    }
  }

  /** Streams whose only end is that of their connection. */
  @Nested
  class StreamsWithoutAVisibleEnd {
    private final Engine source =
        new Engine() {
          @Override
          void begin(ScriptedServer.Request request, OutputStream out) throws IOException {
            ScriptedServer.write(
                out, "HTTP/1.1 200 S\r\nid: " + request.id() + "\r\nseal: s\r\n\r\n");
            for (int i = 1; i <= 3; i++) {
              ScriptedServer.write(out, "id: " + i + "\ndata: t" + i + "\n\n");
            }
          }

          @Override
          void copyLast(ScriptedServer.Request request, OutputStream out, Socket socket)
              throws IOException, InterruptedException {
            socket.close();
            TimeUnit.MILLISECONDS.sleep(50);
            stream.close();
          }
        };

    /** Guards against a stopped stream that looks complete because the stop was not answered. */
    @Test
    void areNotCompleteIfTheyMayHaveBeenStopped() throws Exception {
      String response = streamFromALeavingEngine("/stream/x", source, new Engine());

      assertThat(response).doesNotContain("\r\n0\r\n");
      assertThat(runs.get()).isEqualTo(1);
    }

    /** Guards against the same end of a stream that another engine may resume. */
    @Test
    void goOnAfterTheLastEventIfTheyMayHaveBeenStopped() throws Exception {
      assertComplete(streamFromALeavingEngine("/resume/x", source, new Engine()));
    }
  }

  @Nested
  class StreamsThatAreNotResumable {
    /** Guards against a second run, or a lost stream, if the target has no room any more. */
    @Test
    void goOnAtTheirSourceIfTheTargetRefusesThem() throws Exception {
      Engine full =
          new Engine() {
            @Override
            void continueFromCopy(ScriptedServer.Request request, OutputStream out, Socket socket)
                throws IOException {
              refuse(request, out);
            }
          };
      String response = streamFromALeavingEngine("/stream/x", new Engine(), full);

      assertThat(runs.get()).isEqualTo(1);
      assertComplete(response);
    }

    /** Guards against a second run of a continuation whose answer is lost. */
    @Test
    void doNotRunAgainIfTheTargetIsLostAfterTheSend() throws Exception {
      AtomicInteger continuations = new AtomicInteger();
      Engine lost =
          new Engine() {
            @Override
            void continueFromCopy(ScriptedServer.Request request, OutputStream out, Socket socket)
                throws IOException {
              continuations.incrementAndGet();
              socket.close();
            }
          };
      String response = streamFromALeavingEngine("/stream/x", lost, lost, lost);

      assertThat(runs.get()).isEqualTo(1);
      assertThat(continuations.get()).isEqualTo(1);
      assertThat(response).doesNotContain("\r\n0\r\n");
    }

    /** Guards against a copy that is lost because its target, too, begins to leave. */
    @Test
    void goOnAtTheirSourceIfATargetThatLeavesRefusesThem() throws Exception {
      Engine leaving =
          new Engine() {
            @Override
            void continueFromCopy(ScriptedServer.Request request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
              String self = request.headers().get("server");
              gateway.updateServers(
                  entries.subList(1, 3).stream().filter(e -> !e.id().equals(self)).toList(),
                  "test");
              TimeUnit.MILLISECONDS.sleep(300);
              refuse(request, out);
            }
          };
      String response = streamFromALeavingEngine("/stream/x", new Engine(), leaving, leaving);

      assertThat(runs.get()).isEqualTo(1);
      assertComplete(response);
    }
  }

  @Nested
  class ResumableStreams {
    /** Guards against giving up a stream because the answer to its last copy is lost. */
    @Test
    void goOnAfterTheLastEventIfTheLastCopyIsNotAnswered() throws Exception {
      Engine source =
          new Engine() {
            @Override
            void copyLast(ScriptedServer.Request request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
              stream.close();
              TimeUnit.MILLISECONDS.sleep(100);
              socket.close();
            }
          };
      String response = streamFromALeavingEngine("/resume/x", source, new Engine());

      assertComplete(response);
      assertThat(resumedAfter).containsExactly("3");
    }

    /** Guards against events of an engine that was given up, among those of the next one. */
    @Test
    void areReadFromOneEngineAtATime() throws Exception {
      gateway.stop().get(5, TimeUnit.SECONDS);
      drainPeriod = Duration.ofMillis(300);
      start();
      Engine source =
          new Engine() {
            @Override
            void copyLast(ScriptedServer.Request request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
              TimeUnit.MILLISECONDS.sleep(300);
              ScriptedServer.sendResponse(out, request, 503, "handle-1");
              TimeUnit.MILLISECONDS.sleep(30);
              ScriptedServer.writeEvents(stream.getOutputStream(), 4, 4);
              TimeUnit.MILLISECONDS.sleep(100);
              stream.close();
            }
          };
      Engine slow =
          new Engine() {
            @Override
            void resume(ScriptedServer.Request request, OutputStream out)
                throws IOException, InterruptedException {
              TimeUnit.MILLISECONDS.sleep(200);
              ScriptedServer.startStream(out, request);
              int next = Integer.parseInt(request.headers().get("after")) + 1;
              ScriptedServer.writeEvents(out, next, LAST_EVENT);
              ScriptedServer.endStream(out);
            }
          };
      String response = streamFromALeavingEngine("/resume/x", source, slow);

      assertThat(resumedAfter).hasSize(1);
      assertComplete(response);
    }

    /** Guards against giving up a stream that another engine may resume after its last event. */
    @Test
    void goOnAfterTheLastEventIfNoEngineUsesTheCopy() throws Exception {
      Engine refusing =
          new Engine() {
            @Override
            void continueFromCopy(ScriptedServer.Request request, OutputStream out, Socket socket)
                throws IOException {
              refuse(request, out);
            }
          };
      String response = streamFromALeavingEngine("/resume/x", refusing, refusing, refusing);

      assertComplete(response);
      assertThat(resumedAfter).containsExactly("3");
    }
  }
}
