import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;

/** Consumers that send one request after the other on kept channels, and what became of each. */
final class Traffic {
  /** Longest wait of a consumer for an answer; longer than the timeout of the route. */
  static final int PATIENCE_MILLIS = 5_000;

  private final Deployment deployment;
  private final List<Call> calls = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicBoolean stopped = new AtomicBoolean();

  /**
   * One request.
   *
   * @param status status of the answer; 0 if there was none
   * @param whole whether the body of a success is the one that the replica gives
   * @param millis time to the answer, or to the end of the wait for it
   */
  record Call(
      String id, String path, long sentAtMillis, int status, boolean whole, long millis) {
    boolean unansweredAt(long afterMillis) {
      return status == 0 || millis > afterMillis;
    }
  }

  Traffic(Deployment deployment) {
    this.deployment = deployment;
  }

  /** Sends a request on a channel and records it; returns whether the channel can be used again. */
  boolean call(Caller caller, String path, byte[] body) {
    String id = deployment.nextId();
    long sentAt = deployment.record.millis();
    int status = 0;
    boolean whole = true;
    String what;
    try {
      HttpMessage answer =
          caller.call("POST", path, id, Deployment.KEY, PATIENCE_MILLIS, body);
      status = answer == null ? 0 : answer.status();
      what = answer == null ? "channel closed without an answer" : answer.startLine();
      if (status == 200 && !Arrays.equals(answer.body(), AppReplica.body(id))) {
        whole = false;
        what += " with the body \"" + new String(answer.body(), StandardCharsets.ISO_8859_1) + "\"";
      }
    } catch (IOException e) {
      what = "no answer: " + e;
    }
    long millis = deployment.record.millis() - sentAt;
    deployment.record.line(
        "request %s %s body %d sent at %d: %s after %d ms", id, path, body.length, sentAt, what, millis);
    synchronized (calls) {
      calls.add(new Call(id, path, sentAt, status, whole, millis));
    }
    return status != 0;
  }

  /** Starts a consumer that goes on until the traffic stops, on an open channel first if given. */
  void start(Instance instance, Caller open, String path, IntSupplier bodyBytes, long pauseMillis) {
    Thread thread =
        new Thread(
            () -> {
              Caller caller = open;
              try {
                while (!stopped.get()) {
                  if (caller == null) {
                    caller = new Caller(instance, PATIENCE_MILLIS);
                  }
                  if (!call(caller, path, new byte[bodyBytes.getAsInt()])) {
                    caller.close();
                    caller = null;
                  }
                  Thread.sleep(pauseMillis);
                }
              } catch (IOException e) {
                deployment.record.line("no channel to %s: %s", instance.name, e);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  /** Stops all consumers after their current requests. */
  void stop() throws InterruptedException {
    stopped.set(true);
    for (Thread thread : threads) {
      thread.join(2L * PATIENCE_MILLIS);
    }
  }

  /** The requests on a path that were sent in a span of the record. */
  List<Call> sentBetween(long fromMillis, long toMillis, String path) {
    synchronized (calls) {
      return calls.stream()
          .filter(call -> call.path.equals(path))
          .filter(call -> call.sentAtMillis >= fromMillis && call.sentAtMillis < toMillis)
          .toList();
    }
  }

  /**
   * The rule CONFIG on timeouts: of the requests that are still unanswered at the timeout of their
   * route, more than half have no answer half a second later. Only eight or more of them count.
   */
  boolean answeredAtTimeout(List<Call> judged, long timeoutMillis) {
    long open = judged.stream().filter(call -> call.unansweredAt(timeoutMillis)).count();
    long late = judged.stream().filter(call -> call.unansweredAt(timeoutMillis + 500)).count();
    long served = judged.stream().filter(call -> call.status == 200).count();
    deployment.record.line(
        "judged %d requests, served %d, unanswered at %d ms: %d, half a second later: %d",
        judged.size(), served, timeoutMillis, open, late);
    return open < 8 || 2 * late <= open;
  }
}
