package org.basilport.engine;

/**
 * End of a generation.
 *
 * @param generationId id of the generation
 * @param totalTokens total number of generated tokens
 * @param reason reason for the end
 */
public record GenerationEnd(String generationId, long totalTokens, Reason reason) {

  /** Reason why a generation ended. */
  public enum Reason {
    /** The model emitted its end of sequence. */
    STOP,
    /** The maximum number of tokens was reached. */
    LENGTH,
    /** The generation was cancelled. */
    CANCELLED
  }
}
