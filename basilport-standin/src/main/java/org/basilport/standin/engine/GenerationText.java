package org.basilport.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** Output text derived from generation id and token index, so that a test can verify any range. */
public final class GenerationText {
  private GenerationText() {}

  /** Text of a token. */
  public static String token(String generationId, long index) {
    return Integer.toHexString(generationId.hashCode()) + ":" + index + " ";
  }

  /** Texts of the tokens from an index (inclusive) to another (exclusive). */
  public static List<String> tokens(String generationId, long from, long to) {
    List<String> tokens = new ArrayList<>();
    for (long index = from; index < to; index++) {
      tokens.add(token(generationId, index));
    }
    return tokens;
  }

  /** Complete text of a generation with a length in tokens. */
  public static String text(String generationId, long length) {
    return String.join("", tokens(generationId, 0, length));
  }
}
