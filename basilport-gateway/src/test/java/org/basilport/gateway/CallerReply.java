package org.basilport.gateway;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a caller received on a connection that carried one request.
 *
 * @param status HTTP status; 0 if the head is not complete
 * @param fields fields of the head; values of equal names are joined
 * @param body body without its framing
 * @param whole whether the body has ended as the head says
 * @param excess bytes after the answer
 */
record CallerReply(
    int status, Map<String, String> fields, String body, boolean whole, String excess) {

  /** Reply that did not end within the time limit of the caller. */
  static final CallerReply TIMED_OUT =
      new CallerReply(0, new TreeMap<>(), "", false, "not ended in time");

  static CallerReply parse(String text) {
    TreeMap<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    int headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
      return new CallerReply(0, fields, "", false, text);
    }
    String[] lines = text.substring(0, headEnd).split("\r\n");
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      fields.merge(
          lines[i].substring(0, colon), lines[i].substring(colon + 1).trim(), String::concat);
    }
    int status = Integer.parseInt(lines[0].split(" ")[1]);
    String rest = text.substring(headEnd + 4);
    if (fields.getOrDefault("transfer-encoding", "").toLowerCase(Locale.ROOT).equals("chunked")) {
      return chunked(status, fields, rest);
    }
    int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
    int end = Math.min(length, rest.length());
    return new CallerReply(
        status, fields, rest.substring(0, end), rest.length() >= length, rest.substring(end));
  }

  private static CallerReply chunked(int status, Map<String, String> fields, String rest) {
    StringBuilder body = new StringBuilder();
    int position = 0;
    while (true) {
      int lineEnd = rest.indexOf("\r\n", position);
      if (lineEnd < 0) {
        return new CallerReply(status, fields, body.toString(), false, "");
      }
      int size = Integer.parseInt(rest.substring(position, lineEnd), 16);
      int end = lineEnd + 2 + size;
      if (rest.length() < end + 2) {
        body.append(rest.substring(lineEnd + 2, Math.min(end, rest.length())));
        return new CallerReply(status, fields, body.toString(), false, "");
      }
      if (size == 0) {
        return new CallerReply(status, fields, body.toString(), true, rest.substring(end + 2));
      }
      body.append(rest, lineEnd + 2, end);
      position = end + 2;
    }
  }

  /** Whether the gateway wrote the answer itself. */
  boolean local() {
    return fields.getOrDefault("content-type", "").equals("text/plain");
  }

  String seal() {
    return fields.getOrDefault("seal", "");
  }
}
