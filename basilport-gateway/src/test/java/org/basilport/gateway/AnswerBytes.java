package org.basilport.gateway;

import java.util.List;
import java.util.Locale;

/**
 * Answer of a backend server as it is written to a connection.
 *
 * @param status HTTP status
 * @param requestId echoed id; empty for an answer without one
 * @param seal signature, which no other answer of a test carries
 * @param refusal whether the answer says that the request was not executed
 * @param framing how the body ends
 * @param parts body, in the chunks of {@link Framing#CHUNKED}
 * @param interim interim answer that precedes the answer; empty if there is none
 * @param lowerCase whether the names of the header fields are in lower case
 */
record AnswerBytes(
    int status,
    String requestId,
    String seal,
    boolean refusal,
    Framing framing,
    List<String> parts,
    String interim,
    boolean lowerCase) {

  static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

  enum Framing {
    LENGTH,
    CHUNKED,
    UNTIL_CLOSE
  }

  static AnswerBytes of(
      int status, String requestId, String seal, Framing framing, String... parts) {
    return new AnswerBytes(status, requestId, seal, false, framing, List.of(parts), "", false);
  }

  static AnswerBytes refusal(String requestId, String seal) {
    return new AnswerBytes(503, requestId, seal, true, Framing.LENGTH, List.of(), "", false);
  }

  /** Event stream of one signed answer, one event in each chunk. */
  static AnswerBytes stream(
      String requestId, String seal, Framing framing, int firstEvent, int lastEvent) {
    String[] events = new String[lastEvent - firstEvent + 1];
    for (int i = 0; i < events.length; i++) {
      events[i] = event(firstEvent + i, seal);
    }
    return of(200, requestId, seal, framing, events);
  }

  static String event(int id, String seal) {
    return "id: " + id + "\ndata: event " + id + " of " + seal + "\n\n";
  }

  AnswerBytes inOneChunk() {
    return withParts(List.of(body()));
  }

  private AnswerBytes withParts(List<String> changed) {
    return new AnswerBytes(status, requestId, seal, refusal, framing, changed, interim, lowerCase);
  }

  AnswerBytes withRequestId(String id) {
    return new AnswerBytes(status, id, seal, refusal, framing, parts, interim, lowerCase);
  }

  AnswerBytes withInterim() {
    return new AnswerBytes(status, requestId, seal, refusal, framing, parts, INTERIM, lowerCase);
  }

  AnswerBytes withLowerCaseNames() {
    return new AnswerBytes(status, requestId, seal, refusal, framing, parts, interim, true);
  }

  String body() {
    return String.join("", parts);
  }

  /** All bytes of the answer, each as one character. */
  String text() {
    StringBuilder fields = new StringBuilder("Content-Type: text/event-stream\r\n");
    if (!requestId.isEmpty()) {
      fields.append("id: ").append(requestId).append("\r\n");
    }
    fields.append("seal: ").append(seal).append("\r\n");
    if (refusal) {
      fields.append("not-run: 1\r\n");
    }
    if (framing == Framing.LENGTH) {
      fields.append("Content-Length: ").append(body().length()).append("\r\n");
    } else if (framing == Framing.CHUNKED) {
      fields.append("Transfer-Encoding: chunked\r\n");
    }
    String head = lowerCase ? fields.toString().toLowerCase(Locale.ROOT) : fields.toString();
    return interim + "HTTP/1.1 " + status + " S\r\n" + head + "\r\n" + framedBody();
  }

  private String framedBody() {
    if (framing != Framing.CHUNKED) {
      return body();
    }
    StringBuilder chunks = new StringBuilder();
    for (String part : parts) {
      chunks.append(Integer.toHexString(part.length())).append("\r\n").append(part).append("\r\n");
    }
    return chunks.append("0\r\n\r\n").toString();
  }

  /** Whether a part of the bytes ends within or after the body, and not in the head. */
  boolean reachesBody(int length) {
    return length >= text().length() - framedBody().length();
  }

  /** Body within the given number of bytes of an answer that ends with its connection. */
  String bodyWithin(int length) {
    return text().substring(text().length() - framedBody().length(), length);
  }
}
