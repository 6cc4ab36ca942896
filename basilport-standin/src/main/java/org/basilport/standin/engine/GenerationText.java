package org.basilport.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** Output text as a function of generation id and token number, so that a checker can tell both. */
public final class GenerationText {
  private GenerationText() {}

  /** Text of a token. */
  public static String token(String generationId, long index) {
    return Integer.toHexString(generationId.hashCode()) + ":" + index + " ";
  }

  /** Texts of consecutive tokens. */
  public static List<String> tokens(String generationId, long from, long to) {
    List<String> tokens = new ArrayList<>();
    for (long index = from; index < to; index++) {
      tokens.add(token(generationId, index));
    }
    return tokens;
  }

  /** Whole text of a generation. */
  public static String text(String generationId, long length) {
    return String.join("", tokens(generationId, 0, length));
  }
}
