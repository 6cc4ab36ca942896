package org.basilport.gateway;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/** Answers that servers wrote to one request, against which the caller's answer is compared. */
final class ServerAnswers {
  private final List<Written> answers = new CopyOnWriteArrayList<>();

  /** Answer of which a caller may receive the body, and whether it was written to its end. */
  private record Written(AnswerBytes answer, String body, boolean whole) {}

  void clear() {
    answers.clear();
  }

  void add(AnswerBytes answer, String body, boolean whole) {
    answers.add(new Written(answer, body, whole));
  }

  void addWhole(AnswerBytes answer) {
    add(answer, answer.body(), true);
  }

  /** Whether a server wrote a whole answer with this status and body. */
  boolean hasWhole(int status, String body) {
    return answers.stream()
        .anyMatch(a -> a.whole() && a.answer().status() == status && a.body().equals(body));
  }

  /** What is wrong with an answer that a caller received; empty if one server wrote all of it. */
  Optional<String> judge(String id, CallerReply reply) {
    boolean served =
        reply.whole()
            && answers.stream()
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

  /**
   * What is wrong with a stream that a caller received. It may consist of the whole events of one
   * server, followed by those of the next ones, and ends where the last of them ended it.
   */
  Optional<String> judgeStream(String id, CallerReply reply, int lastEvent) {
    String rest = reply.body();
    int next = firstEvent(rest);
    Optional<Written> current = Optional.empty();
    while (!rest.isEmpty()) {
      Optional<Written> source = sourceOf(id, rest, next, current);
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
    boolean endedLater =
        next > lastEvent && answers.stream().anyMatch(a -> endsAfterLastEvent(id, a));
    return ended || endedLater ? Optional.empty() : Optional.of("end that no server wrote");
  }

  /** Number of the event with which a server began its answer. */
  private int firstEvent(String body) {
    return answers.stream()
        .map(source -> source.body().lines().findFirst().orElse(""))
        .filter(line -> line.startsWith("id: ") && body.startsWith(line + "\n"))
        .map(line -> Integer.parseInt(line.substring("id: ".length())))
        .findFirst()
        .orElse(1);
  }

  /** Whether the server that wrote the last event has ended its stream there. */
  private boolean ended(Written source, String body) {
    return answers.stream()
        .filter(answer -> answer.whole() && answer.answer().equals(source.answer()))
        .anyMatch(answer -> !answer.body().isEmpty() && body.endsWith(answer.body()));
  }

  /** Whether an answer is that of a server which resumed a stream after its last event. */
  private static boolean endsAfterLastEvent(String id, Written source) {
    AnswerBytes answer = source.answer();
    return source.whole()
        && answer.requestId().equals(id)
        && answer.status() == 200
        && source.body().isEmpty();
  }

  private Optional<Written> sourceOf(String id, String rest, int event, Optional<Written> current) {
    return answers.stream()
        .filter(source -> source.answer().requestId().equals(id))
        .filter(source -> source.body().contains(AnswerBytes.event(event, source.answer().seal())))
        .filter(source -> rest.startsWith(AnswerBytes.event(event, source.answer().seal())))
        .filter(
            source ->
                current.isEmpty() || answers.indexOf(source) >= answers.indexOf(current.get()))
        .findFirst();
  }
}
