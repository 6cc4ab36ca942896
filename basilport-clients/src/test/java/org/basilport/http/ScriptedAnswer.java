package org.basilport.http;

import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.List;

/**
 * Bytes of an answer, and what they say.
 *
 * @param status status, 0 if there is no answer
 * @param seal value of the header field {@link #SEAL}, which tells two answers apart
 * @param body body without its framing
 * @param bytes all bytes, one character a byte
 */
public record ScriptedAnswer(int status, String seal, String body, String bytes) {
  /** Header field whose value differs between answers. */
  public static final String SEAL = "Seal";

  /** No bytes. */
  public static final ScriptedAnswer NONE = new ScriptedAnswer(0, "", "", "");

  private static final int WRITE_BYTES = 5;

  private static ScriptedAnswer of(
      int status, String reason, String seal, String headers, String body, String rest) {
    String statusLine = "HTTP/1.1 " + status + (reason.isEmpty() ? "" : " " + reason) + "\r\n";
    String fields = headers + SEAL + ": " + seal + "\r\n";
    return new ScriptedAnswer(status, seal, body, statusLine + fields + rest);
  }

  /** Creates an answer with the length of its body. */
  public static ScriptedAnswer withLength(
      int status, String reason, String seal, String headers, String body) {
    String rest = "Content-Length: " + body.length() + "\r\n\r\n" + body;
    return of(status, reason, seal, headers, body, rest);
  }

  /** Creates an answer whose body ends with the connection. */
  public static ScriptedAnswer untilClose(
      int status, String reason, String seal, String headers, String body) {
    return of(status, reason, seal, headers, body, "\r\n" + body);
  }

  /** Creates an answer with a body in chunks. */
  public static ScriptedAnswer chunked(
      int status, String reason, String seal, String headers, String... chunks) {
    StringBuilder rest = new StringBuilder("Transfer-Encoding: chunked\r\n\r\n");
    for (String chunk : chunks) {
      rest.append(Integer.toHexString(chunk.length())).append("\r\n").append(chunk).append("\r\n");
    }
    String body = String.join("", chunks);
    return of(status, reason, seal, headers, body, rest.append("0\r\n\r\n").toString());
  }

  /** Creates an answer that has no body. */
  public static ScriptedAnswer withoutBody(int status, String reason, String seal, String headers) {
    return of(status, reason, seal, headers, "", "\r\n");
  }

  /** Whether the end of the connection is the end of the body. */
  public boolean endsWithConnection() {
    return status != 204 && !bytes.contains("Content-Length") && !bytes.contains("chunked");
  }

  /**
   * Returns the ways to split the first bytes of this answer and all bytes of the next one into
   * writes: in one, in two, and, if asked for, a few bytes at a time.
   */
  public List<List<String>> writes(int cut, ScriptedAnswer next, boolean small) {
    String stopped = bytes.substring(0, cut);
    List<List<String>> ways = new ArrayList<>();
    ways.add(List.of(stopped + next.bytes));
    ways.add(List.of(stopped, next.bytes));
    if (small) {
      ways.add(Splitter.fixedLength(WRITE_BYTES).splitToList(stopped + next.bytes));
    }
    return ways;
  }
}
