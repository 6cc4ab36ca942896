package org.basilport.gateway;

import com.google.common.primitives.Ints;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.policy.dispatch.StoreRead;

/** Gateway with two servers of each service that plays one answer after the other. */
final class MixedAnswersLane extends GatewayFixture {
  static final int LAST_EVENT = 3;

  /** Stands for the id of a request, in its length. */
  static final String ID_PLACEHOLDER = "p#####";

  /** Time between two parts of an answer, within which the first one is read. */
  private static final long READ_PAUSE_MILLIS = 2;

  private static final String RETRY_SEAL = "retry";

  private static final int READ_TIMEOUT_MILLIS = 6_000;

  private final List<WrittenAnswer> written = new CopyOnWriteArrayList<>();
  private final Set<Socket> usedConnections = ConcurrentHashMap.newKeySet();
  private volatile Play play;
  private volatile int sends;
  private volatile boolean reused;
  private int plays;

  /** How a server ends its connection after the answers. */
  enum Ending {
    CLOSE,
    RESET
  }

  /**
   * Answers to one request.
   *
   * @param route prefix of the route
   * @param first answer that stops
   * @param cut bytes of the first answer that are written
   * @param next answer that follows
   * @param split position after which the server pauses; 0 for none
   * @param endMillis time between the answers and the end of the connection
   * @param kept whether the connection carried a request before
   */
  record Play(
      String route,
      AnswerBytes first,
      int cut,
      Optional<AnswerBytes> next,
      Ending ending,
      int split,
      int endMillis,
      boolean kept) {

    /** Play whose answers carry the id of a request where they carry a placeholder. */
    Play forRequest(String id) {
      return new Play(
          route,
          first.withRequestId(first.requestId().replace(ID_PLACEHOLDER, id)),
          cut,
          next.map(n -> n.withRequestId(n.requestId().replace(ID_PLACEHOLDER, id))),
          ending,
          split,
          endMillis,
          kept);
    }

    boolean streamed() {
      return route.equals("/stream/") || route.equals("/resume/");
    }

    boolean repeatable() {
      return route.equals("/read/") || route.equals("/resume/");
    }

    /** Whether the server may say that it has not executed the request. */
    boolean mayRefuse(String requestId) {
      boolean before =
          cut == 0
              || cut == first.interim().length()
              || (cut == first.text().length() && !first.requestId().equals(requestId));
      return (before && next.filter(AnswerBytes::refusal).isPresent());
    }

    @Override
    public String toString() {
      String answers =
          first.text().substring(0, cut) + "|" + next.map(AnswerBytes::text).orElse("");
      return (route + " " + ending + " split " + split + " end " + endMillis)
          + (kept ? " kept " : " ")
          + answers.replace("\r", "\\r").replace("\n", "\\n");
    }
  }

  /** Answer of which a caller may receive the body, and whether it was written to its end. */
  private record WrittenAnswer(AnswerBytes answer, String body, boolean whole) {}

  /** Result of a play. */
  record Outcome(Optional<String> problem, boolean reused, int sends) {}

  static MixedAnswersLane open() throws Exception {
    MixedAnswersLane lane = new MixedAnswersLane();
    lane.start();
    lane.configure(1, "k1");
    for (String service : List.of("plain", "plain", "model", "model")) {
      lane.serve(service, lane::respond);
    }
    return lane;
  }

  private void respond(ScriptedServer.Request request, OutputStream out, Socket socket)
      throws IOException, InterruptedException {
    if (request.id().startsWith("w")) {
      usedConnections.add(socket);
      AnswerBytes whole = wholeAnswer(request, "w");
      ScriptedServer.write(out, whole.text());
      return;
    }
    sends++;
    if (sends > 1) {
      AnswerBytes whole = wholeAnswer(request, RETRY_SEAL + sends);
      written.add(new WrittenAnswer(whole, whole.body(), true));
      ScriptedServer.write(out, whole.text());
      return;
    }
    reused = usedConnections.contains(socket);
    Play current = play;
    recordWritten(current);
    String bytes =
        current.first().text().substring(0, current.cut())
            + current.next().map(AnswerBytes::text).orElse("");
    int split = Math.min(current.split(), bytes.length());
    if (split > 0) {
      ScriptedServer.write(out, bytes.substring(0, split));
      TimeUnit.MILLISECONDS.sleep(READ_PAUSE_MILLIS);
    }
    ScriptedServer.write(out, bytes.substring(split));
    TimeUnit.MILLISECONDS.sleep(current.endMillis());
    if (current.ending() == Ending.RESET) {
      socket.setSoLinger(true, 0);
      socket.close();
    } else {
      socket.shutdownOutput();
    }
  }

  private AnswerBytes wholeAnswer(ScriptedServer.Request request, String seal) {
    if (request.line().startsWith("POST")) {
      int from =
          1 + Optional.ofNullable(request.headers().get("after")).map(Ints::tryParse).orElse(0);
      AnswerBytes.Framing framing = AnswerBytes.Framing.CHUNKED;
      return AnswerBytes.stream(
          request.id(), seal, framing, Math.min(from, LAST_EVENT + 1), LAST_EVENT);
    }
    return AnswerBytes.of(200, request.id(), seal, AnswerBytes.Framing.LENGTH, "whole " + seal);
  }

  private void recordWritten(Play current) {
    AnswerBytes first = current.first();
    boolean complete = current.cut() == first.text().length();
    if (first.framing() == AnswerBytes.Framing.UNTIL_CLOSE && first.reachesBody(current.cut())) {
      boolean ended = current.next().isEmpty() && current.ending() == Ending.CLOSE;
      written.add(new WrittenAnswer(first, first.bodyWithin(current.cut()), ended || complete));
    } else {
      written.add(new WrittenAnswer(first, first.body(), complete));
    }
    current.next().ifPresent(next -> written.add(new WrittenAnswer(next, next.body(), true)));
  }

  /** Plays the answers to a new request; the answers must carry its id or that of another one. */
  Outcome play(String id, Play played) throws IOException {
    plays++;
    play = played;
    written.clear();
    usedConnections.clear();
    sends = 0;
    reused = false;
    List<ServerEntry> listed = new ArrayList<>();
    for (int i = 0; i < entries.size(); i += played.kept() ? 2 : 1) {
      listed.add(fresh(entries.get(i)));
    }
    gateway.updateServers(listed, "test");
    gateway.recordConfigurationRead(
        new StoreRead(0, System.nanoTime(), System.currentTimeMillis()));
    if (played.kept()) {
      receive("w" + id, played);
    }
    CallerReply reply = CallerReply.parse(receive(id, played));
    Optional<String> problem = judge(id, played, reply);
    return new Outcome(problem.map(text -> text + ": " + reply), reused, sends);
  }

  /** Entry of a server without a history. */
  private ServerEntry fresh(ServerEntry entry) {
    return new ServerEntry(
        entry.id() + "-" + plays,
        entry.incarnation(),
        entry.service(),
        entry.version(),
        entry.host(),
        entry.port(),
        entry.dataCentre(),
        entry.slots(),
        entry.leaving(),
        entry.warmUpRemaining());
  }

  private String receive(String id, Play played) throws IOException {
    String method = played.streamed() ? "POST " : "GET ";
    String headers = played.streamed() ? "tokens: 100\r\nContent-Length: 0\r\n" : "";
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    try (Socket socket = new Socket(frontend.getAddress(), frontend.getPort())) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      String head = " HTTP/1.1\r\nhost: h\r\nkey: k1\r\nConnection: close\r\nid: " + id + "\r\n";
      ScriptedServer.write(
          socket.getOutputStream(), method + played.route() + id + head + headers + "\r\n");
      byte[] buffer = new byte[4_096];
      for (int count = 0; count >= 0; count = socket.getInputStream().read(buffer)) {
        received.write(buffer, 0, count);
      }
    } catch (SocketException e) {
      received.flush();
    }
    return received.toString(StandardCharsets.ISO_8859_1);
  }

  private Optional<String> judge(String id, Play played, CallerReply reply) {
    if (sends == 0) {
      return Optional.of("not sent");
    }
    if (sends > 1 && !played.repeatable() && !played.mayRefuse(id)) {
      return Optional.of("sent again");
    }
    if (!reply.excess().isEmpty() && reply.status() != 0) {
      return Optional.of("bytes after the answer");
    }
    if (reply.status() == 0) {
      return reply.excess().isEmpty() ? Optional.empty() : Optional.of("no answer");
    }
    if (reply.local()) {
      return judgeLocal(id, played, reply);
    }
    return played.streamed() && reply.status() == 200
        ? judgeStream(id, reply)
        : judgeAnswer(id, reply);
  }

  private Optional<String> judgeLocal(String id, Play played, CallerReply reply) {
    boolean refused = reply.status() == 503;
    if (!reply.seal().isEmpty() || !(refused || reply.status() == 502 || reply.status() == 504)) {
      return Optional.of("no failure of the gateway");
    }
    boolean honest = !refused || played.repeatable() || played.mayRefuse(id);
    return honest ? Optional.empty() : Optional.of("refused after a send");
  }

  private Optional<String> judgeAnswer(String id, CallerReply reply) {
    boolean served =
        reply.whole()
            && written.stream()
                .filter(candidate -> candidate.whole() && belongsTo(id, candidate.answer()))
                .anyMatch(
                    candidate ->
                        candidate.answer().status() == reply.status()
                            && candidate.answer().seal().equals(reply.seal())
                            && candidate.body().equals(reply.body()));
    return served ? Optional.empty() : Optional.of("answer that no server gave");
  }

  private static boolean belongsTo(String id, AnswerBytes answer) {
    return answer.requestId().equals(id)
        || (answer.requestId().isEmpty() && answer.status() != 200);
  }

  private Optional<String> judgeStream(String id, CallerReply reply) {
    String rest = reply.body();
    int next = 1;
    Optional<WrittenAnswer> current = Optional.empty();
    while (!rest.isEmpty()) {
      Optional<WrittenAnswer> source = sourceOf(id, rest, next, current);
      if (source.isEmpty()) {
        return Optional.of("bytes of no event " + next + " of a server");
      }
      if (current.isEmpty() && !source.get().answer().seal().equals(reply.seal())) {
        return Optional.of("seal of another answer");
      }
      rest = rest.substring(AnswerBytes.event(next, source.get().answer().seal()).length());
      current = source;
      next++;
    }
    if (!reply.whole()) {
      return Optional.empty();
    }
    boolean ended = current.filter(source -> ended(source, reply.body())).isPresent();
    boolean endedLater = next > LAST_EVENT && written.stream().anyMatch(this::endsAfterLastEvent);
    return ended || endedLater ? Optional.empty() : Optional.of("end that no server wrote");
  }

  private static boolean ended(WrittenAnswer source, String body) {
    return source.whole() && !source.body().isEmpty() && body.endsWith(source.body());
  }

  /** Whether an answer is that of a server which resumed a stream after its last event. */
  private boolean endsAfterLastEvent(WrittenAnswer source) {
    return source.answer().seal().startsWith(RETRY_SEAL) && source.body().isEmpty();
  }

  private Optional<WrittenAnswer> sourceOf(
      String id, String rest, int event, Optional<WrittenAnswer> current) {
    return written.stream()
        .filter(source -> source.answer().requestId().equals(id))
        .filter(source -> source.body().contains(AnswerBytes.event(event, source.answer().seal())))
        .filter(source -> rest.startsWith(AnswerBytes.event(event, source.answer().seal())))
        .filter(
            source ->
                current.isEmpty()
                    || source.equals(current.get())
                    || written.indexOf(source) > written.indexOf(current.get()))
        .findFirst();
  }
}
