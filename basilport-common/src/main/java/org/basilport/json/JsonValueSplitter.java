package org.basilport.json;

import java.io.IOException;

/**
 * Finds the members of an object, or the elements of an array, in a UTF-8 text. Its memory does not
 * depend on how deeply the values are nested; what they hold is not checked.
 */
final class JsonValueSplitter {
  private final byte[] text;
  private final int end;
  private final boolean divisible;
  private final boolean inObject;
  private int position;
  private boolean first = true;
  private int nameStart;
  private int nameEnd;
  private int valueStart;
  private int valueEnd;

  /** Creates a splitter of the value between two positions. */
  JsonValueSplitter(byte[] text, int from, int to) {
    this.text = text;
    this.end = to;
    this.position = from;
    skipSpace();
    byte opening = position < end ? text[position] : 0;
    this.inObject = opening == '{';
    this.divisible = inObject || opening == '[';
    position++;
  }

  /** Whether the value is an object or an array. */
  boolean divisible() {
    return divisible;
  }

  boolean inObject() {
    return inObject;
  }

  /**
   * Goes on to the next member or element; returns false after the last one.
   *
   * @throws IOException if the text is no JSON
   */
  boolean next() throws IOException {
    skipSpace();
    if (peek() == (inObject ? '}' : ']')) {
      position++;
      expectEnd();
      return false;
    }
    if (!first) {
      expect(',');
      skipSpace();
    }
    first = false;
    if (inObject) {
      nameStart = position;
      skipString();
      nameEnd = position;
      skipSpace();
      expect(':');
      skipSpace();
    }
    valueStart = position;
    skipValue();
    valueEnd = position;
    return true;
  }

  int nameStart() {
    return nameStart;
  }

  int nameEnd() {
    return nameEnd;
  }

  int valueStart() {
    return valueStart;
  }

  int valueEnd() {
    return valueEnd;
  }

  /** Skips a value up to the comma or bracket that follows it. */
  private void skipValue() throws IOException {
    int depth = 0;
    while (true) {
      byte character = peek();
      if (character == '"') {
        skipString();
        continue;
      }
      boolean closing = character == '}' || character == ']';
      if (depth == 0 && (closing || character == ',')) {
        return;
      }
      if (closing) {
        depth--;
      } else if (character == '{' || character == '[') {
        depth++;
      }
      position++;
    }
  }

  private void skipString() throws IOException {
    expect('"');
    while (peek() != '"') {
      position += peek() == '\\' ? 2 : 1;
    }
    position++;
  }

  private void skipSpace() {
    while (position < end && Character.isWhitespace(text[position])) {
      position++;
    }
  }

  private void expectEnd() throws IOException {
    skipSpace();
    if (position < end) {
      throw new IOException("bytes after the value at byte " + position);
    }
  }

  private void expect(char character) throws IOException {
    if (peek() != character) {
      throw new IOException("no '" + character + "' at byte " + position);
    }
    position++;
  }

  private byte peek() throws IOException {
    if (position >= end) {
      throw new IOException("text ends within a value");
    }
    return text[position];
  }
}
