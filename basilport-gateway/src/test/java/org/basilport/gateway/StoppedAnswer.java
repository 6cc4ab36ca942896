package org.basilport.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Answer that stops, and what a server writes after it on the same connection.
 *
 * @param first answer that stops
 * @param cut bytes of the first answer that are written
 * @param next answer that follows
 * @param ending how the server ends the connection after the answers
 * @param split position after which the server pauses; 0 for none
 * @param endMillis time between the answers and the end of the connection
 */
record StoppedAnswer(
    AnswerBytes first,
    int cut,
    Optional<AnswerBytes> next,
    Ending ending,
    int split,
    int endMillis) {
  /** Stands for the id of a request, in its length. */
  static final String ID_PLACEHOLDER = "p#####";

  /** Time between two parts of an answer, within which the first one is read. */
  private static final long READ_PAUSE_MILLIS = 2;

  enum Ending {
    CLOSE,
    RESET
  }

  /** Answers that carry the id of a request where these carry the placeholder. */
  StoppedAnswer forRequest(String id) {
    return new StoppedAnswer(
        first.withRequestId(first.requestId().replace(ID_PLACEHOLDER, id)),
        cut,
        next.map(n -> n.withRequestId(n.requestId().replace(ID_PLACEHOLDER, id))),
        ending,
        split,
        endMillis);
  }

  boolean complete() {
    return cut == first.text().length();
  }

  /** Whether the answers say to the request with this id that it was not executed. */
  boolean refuses(String requestId) {
    boolean nothingBefore =
        cut == 0
            || cut == first.interim().length()
            || (complete() && !first.requestId().equals(requestId));
    return nothingBefore && next.filter(AnswerBytes::refusal).isPresent();
  }

  /** Records what is written as answers of servers. */
  void recordIn(ServerAnswers answers) {
    if (first.framing() == AnswerBytes.Framing.UNTIL_CLOSE && first.reachesBody(cut)) {
      boolean ended = next.isEmpty() && ending == Ending.CLOSE;
      answers.add(first, first.bodyWithin(cut), ended || complete());
    } else {
      answers.add(first, first.body(), complete());
    }
    next.ifPresent(answers::addWhole);
  }

  /** Writes the answers and ends the connection. */
  void write(OutputStream out, Socket socket) throws IOException, InterruptedException {
    writeFrom(0, out, socket);
  }

  /** Writes what follows the bytes that were written before, and ends the connection. */
  void writeFrom(int start, OutputStream out, Socket socket)
      throws IOException, InterruptedException {
    String text = first.text().substring(start, cut) + next.map(AnswerBytes::text).orElse("");
    int position = Math.min(split, text.length());
    if (position > 0) {
      ScriptedServer.write(out, text.substring(0, position));
      TimeUnit.MILLISECONDS.sleep(READ_PAUSE_MILLIS);
    }
    ScriptedServer.write(out, text.substring(position));
    TimeUnit.MILLISECONDS.sleep(endMillis);
    if (ending == Ending.RESET) {
      socket.setSoLinger(true, 0);
      socket.close();
    } else {
      socket.shutdownOutput();
    }
  }

  @Override
  public String toString() {
    String answers = first.text().substring(0, cut) + "|" + next.map(AnswerBytes::text).orElse("");
    return ending
        + (" split " + split + " end " + endMillis + " ")
        + answers.replace("\r", "\\r").replace("\n", "\\n");
  }
}
