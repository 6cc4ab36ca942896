package org.basilport.answer;

/**
 * Checks the bytes of a status line as they are read: version 1.0 or 1.1, a space, and a status of
 * three digits from 100 to 599, which ends the line or is followed by a space.
 *
 * <p>A client that accepts other codes passes them on; RFC 9110, section 15, lets it treat them as
 * failures.
 */
final class StatusLine {
  private static final char MINOR_VERSION = 'v';
  private static final char STATUS_CLASS = 'c';
  private static final char DIGIT = '#';
  private static final char END = '|';

  /** Kind of each byte; other characters stand for themselves. */
  private static final String FORM = "HTTP/1.v c##|";

  private int position;
  private boolean valid = true;

  /** Reads the next byte of a head; returns whether the status line is valid so far. */
  boolean accept(byte value) {
    valid &= position >= FORM.length() || matches(FORM.charAt(position), (char) value);
    position++;
    return valid;
  }

  private static boolean matches(char kind, char value) {
    switch (kind) {
      case MINOR_VERSION:
        return value == '0' || value == '1';
      case STATUS_CLASS:
        return value >= '1' && value <= '5';
      case DIGIT:
        return value >= '0' && value <= '9';
      case END:
        return value == ' ' || value == '\r' || value == '\n';
      default:
        return value == kind;
    }
  }

  /** Whether no byte was read that makes the status line invalid. */
  boolean valid() {
    return valid;
  }

  void reset() {
    position = 0;
    valid = true;
  }
}
