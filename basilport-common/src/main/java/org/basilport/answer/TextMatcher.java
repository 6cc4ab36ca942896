package org.basilport.answer;

/** Finds a text in a sequence of bytes. No part of the text but its first byte begins it again. */
final class TextMatcher {
  private static final char ANY_DIGIT = '#';

  private final String text;
  private int matched;

  /** Creates a matcher of a text in which {@code #} stands for any digit. */
  TextMatcher(String text) {
    this.text = text;
  }

  /** Returns a matcher of the beginning of a status line, {@code HTTP/1.1 200}. */
  static TextMatcher statusLine() {
    return new TextMatcher("HTTP/#.# ###");
  }

  /** Reads a byte; returns whether it completes the text. */
  boolean accept(byte value) {
    if (!matches(value)) {
      matched = 0;
    }
    if (matches(value)) {
      matched++;
    }
    if (matched < text.length()) {
      return false;
    }
    matched = 0;
    return true;
  }

  private boolean matches(byte value) {
    char expected = text.charAt(matched);
    return expected == ANY_DIGIT ? value >= '0' && value <= '9' : value == expected;
  }

  /** Whether the last bytes are a part of the text, from its beginning. */
  boolean partial() {
    return matched > 0;
  }

  /** Whether the last byte is the first one of the text, and not more of it precedes. */
  boolean begun() {
    return matched == 1;
  }

  /** Number of bytes of the text. */
  int length() {
    return text.length();
  }

  /** First byte of the text. */
  byte firstByte() {
    return (byte) text.charAt(0);
  }

  void reset() {
    matched = 0;
  }
}
