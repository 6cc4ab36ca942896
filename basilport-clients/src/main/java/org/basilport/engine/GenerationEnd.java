package org.basilport.engine;

/**
 * The end of a generation.
 *
 * @param generationId generation that ended
 * @param totalTokens number of tokens that were generated in all
 * @param reason why it ended
 */
public record GenerationEnd(String generationId, long totalTokens, Reason reason) {

  /** Why a generation ended. */
  public enum Reason {
    /** The model ended its answer. */
    STOP,
    /** The limit of tokens was reached. */
    LENGTH,
    /** The generation was cancelled. */
    CANCELLED
  }
}
