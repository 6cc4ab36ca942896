package org.basilport.gateway.forward;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Tells the lines of server-sent events from those of an error or of another answer, which a server
 * may write at any place of a stream.
 *
 * <p>Fields have names in lower case. Those that are not of the event stream format only begin an
 * event; elsewhere they are header fields of another answer.
 */
final class EventLineCheck {
  private static final byte[][] FORMAT_FIELDS = {
    bytes("data"), bytes("id"), bytes("event"), bytes("retry")
  };

  /** Field that may stand without a colon, for an empty line of data. */
  private static final byte[] DATA_FIELD = FORMAT_FIELDS[0];

  /** Part of the first line of an answer. */
  private static final byte[] PROTOCOL = bytes("HTTP/1.");

  private boolean resumed;
  private boolean formatFieldSeen;
  private boolean otherFieldSeen;
  private boolean lineSeen;
  private boolean carriageReturns;

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Begins the answer of a server.
   *
   * @param resuming whether the answer continues a stream
   */
  void begin(boolean resuming) {
    resumed = resuming;
    formatFieldSeen = false;
    otherFieldSeen = false;
    lineSeen = false;
  }

  /**
   * Checks a line that is not blank.
   *
   * @param lineEnd end of the line with its line end
   * @return what is wrong with it; empty for a line of an event
   */
  Optional<String> checkLine(byte[] text, int start, int end, int lineEnd) {
    int nameEnd = start;
    while (nameEnd < end && isNameCharacter(text[nameEnd])) {
      nameEnd++;
    }
    if (nameEnd < end ? text[nameEnd] != ':' : !mayOmitValue(text, start, end)) {
      return Optional.of("line that is no field of an event");
    }
    if (endsDifferently(end, lineEnd) && containsProtocol(text, start, end)) {
      return Optional.of("first line of another answer within an event");
    }
    if (nameEnd == start || isFormatField(text, start, nameEnd)) {
      formatFieldSeen = true;
    } else if (formatFieldSeen) {
      return Optional.of("header field of another answer within an event");
    } else {
      otherFieldSeen = true;
    }
    return Optional.empty();
  }

  /** Checks the end of an event; returns what is wrong with it. */
  Optional<String> checkEventEnd() {
    boolean headerFieldsOnly = otherFieldSeen && !formatFieldSeen;
    formatFieldSeen = false;
    otherFieldSeen = false;
    return headerFieldsOnly ? Optional.of("event without a field of an event") : Optional.empty();
  }

  private static boolean isNameCharacter(byte character) {
    return (character >= 'a' && character <= 'z') || character == '-';
  }

  /** A name without a value may be the text of an error where another server was to go on. */
  private boolean mayOmitValue(byte[] text, int start, int end) {
    return !resumed || Arrays.equals(text, start, end, DATA_FIELD, 0, DATA_FIELD.length);
  }

  private static boolean isFormatField(byte[] text, int start, int end) {
    return Arrays.stream(FORMAT_FIELDS)
        .anyMatch(field -> Arrays.equals(text, start, end, field, 0, field.length));
  }

  /** Whether a line does not end as the first line of the answer did. */
  private boolean endsDifferently(int end, int lineEnd) {
    boolean carriageReturn = lineEnd - end > 1;
    if (!lineSeen) {
      lineSeen = true;
      carriageReturns = carriageReturn;
    }
    return carriageReturn != carriageReturns;
  }

  private static boolean containsProtocol(byte[] text, int start, int end) {
    for (int i = start; i + PROTOCOL.length <= end; i++) {
      if (Arrays.equals(text, i, i + PROTOCOL.length, PROTOCOL, 0, PROTOCOL.length)) {
        return true;
      }
    }
    return false;
  }
}
