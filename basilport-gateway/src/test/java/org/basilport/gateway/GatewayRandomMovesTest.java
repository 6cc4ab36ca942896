package org.basilport.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilport.gateway.backend.ServerEntry;
import org.junit.jupiter.api.Test;

/** Streams among engines of which each step fails at random. */
class GatewayRandomMovesTest extends GatewayFixture {
  private static final long SEED = Long.getLong("moves.seed", 33);
  private static final int ROUNDS = Integer.getInteger("moves.rounds", 4);
  private static final int STREAMS = 12;
  private static final int ENGINES = 6;

  private final SplittableRandom random = new SplittableRandom(SEED);
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final AtomicInteger continuations = new AtomicInteger();

  /** Engine that copies, continues, refuses, drops or answers wrongly at random. */
  private final class Engine implements ScriptedServer.Script {
    private final Map<String, Socket> streams = new ConcurrentHashMap<>();
    private final SplittableRandom faults;

    Engine(SplittableRandom faults) {
      this.faults = faults;
    }

    private synchronized int draw(int bound) {
      return faults.nextInt(bound);
    }

    @Override
    public void respond(ScriptedServer.Request request, OutputStream out, Socket socket)
        throws IOException, InterruptedException {
      if (request.line().startsWith("POST /move/")) {
        move(request, out, socket);
        return;
      }
      boolean continuation = request.headers().containsKey("memory");
      int fault = draw(8);
      if (fault == 0) {
        ScriptedServer.write(
            out,
            "HTTP/1.1 503 S\r\nid: "
                + request.id()
                + "\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      if (continuation) {
        continuations.incrementAndGet();
      } else {
        runs.computeIfAbsent(request.id(), id -> new AtomicInteger()).incrementAndGet();
      }
      if (fault == 1) {
        TimeUnit.MILLISECONDS.sleep(draw(100));
        socket.close();
        return;
      }
      if (fault == 2 && draw(2) == 0) {
        ScriptedServer.sendResponse(out, request, 500, "failed");
        return;
      }
      streams.put(request.id(), socket);
      ScriptedServer.startStream(out, request);
      int from = Integer.parseInt(request.headers().getOrDefault("after", "0")) + 1;
      for (int event = from; event <= 30; event++) {
        ScriptedServer.writeEvents(out, event, event);
        TimeUnit.MILLISECONDS.sleep(20);
      }
      ScriptedServer.endStream(out);
    }

    private void move(ScriptedServer.Request request, OutputStream out, Socket socket)
        throws IOException, InterruptedException {
      boolean last = request.line().contains("/true");
      int fault = draw(10);
      TimeUnit.MILLISECONDS.sleep(draw(30));
      Socket stream = streams.get(request.id());
      if (fault == 0 || stream == null) {
        ScriptedServer.sendResponse(out, request, fault == 0 ? 503 : 404, "");
        return;
      }
      if (last) {
        if (draw(3) == 0) {
          String address = request.headers().get("target");
          for (ScriptedServer server : servers) {
            if (address.endsWith(":" + server.port())) {
              server.close();
            }
          }
        }
        stream.close();
      }
      if (fault == 1) {
        socket.close();
      } else {
        int status = fault == 2 ? 503 : 200;
        ScriptedServer.sendResponse(out, request, status, status == 200 || last ? "h" : "");
      }
    }
  }

  /** Guards against an order of failures after which a request that must run once runs again. */
  @Test
  void runsEachRequestAtMostOnce() throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(STREAMS);
    for (int round = 0; round < ROUNDS; round++) {
      for (ScriptedServer server : servers) {
        server.close();
      }
      entries.clear();
      configure(round + 1, "k1");
      for (int i = 0; i < ENGINES; i++) {
        serve("model", new Engine(random.split()));
      }
      List<CompletableFuture<String>> responses = new ArrayList<>();
      for (int i = 0; i < STREAMS; i++) {
        String id = round + "-" + i;
        responses.add(
            CompletableFuture.supplyAsync(
                () -> {
                  try {
                    return callAs(id, "POST", "/stream/" + id, "key: k1\r\ntokens: 100\r\n");
                  } catch (IOException e) {
                    return "failed " + e;
                  }
                },
                callers));
      }
      List<ServerEntry> left = new ArrayList<>(entries);
      for (int i = 0; i < 3; i++) {
        TimeUnit.MILLISECONDS.sleep(100 + random.nextInt(60));
        left.remove(random.nextInt(left.size()));
        gateway.updateServers(left, "test");
      }
      for (int i = 0; i < STREAMS; i++) {
        String id = round + "-" + i;
        String response = responses.get(i).get(10, TimeUnit.SECONDS);
        int count = runs.containsKey(id) ? runs.get(id).get() : 0;
        String name = "seed " + SEED + " request " + id;
        assertWithMessage(name).that(count).isAtMost(1);
        if (response.startsWith("HTTP/1.1 503")) {
          assertWithMessage(name + " refused").that(count).isEqualTo(0);
        }
      }
    }
    callers.shutdownNow();
    assertWithMessage("continuations").that(continuations.get()).isGreaterThan(0);
  }
}
