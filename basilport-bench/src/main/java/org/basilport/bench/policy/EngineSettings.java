package org.basilport.bench.policy;

/**
 * Assumptions about one engine.
 *
 * @param capacityTokens key-value memory, in tokens
 * @param baseStepMicros time of a decode step without sequences, in microseconds
 * @param sequenceMicros further time for each decoded sequence, in microseconds
 * @param heldTokenNanos further time for each token held by decoded sequences, in nanoseconds
 * @param prefillTokenMicros time to compute one prompt token, in microseconds
 * @param stepTokenBudget largest number of tokens, decoded and computed, in one step
 * @param maxSequences largest number of sequences in a batch
 * @param cacheTokens size of the prefix cache, in tokens
 */
public record EngineSettings(
    long capacityTokens,
    double baseStepMicros,
    double sequenceMicros,
    double heldTokenNanos,
    double prefillTokenMicros,
    int stepTokenBudget,
    int maxSequences,
    long cacheTokens) {

  /** Returns an engine on four mid-size accelerators with a model of 70 billion parameters. */
  public static EngineSettings standard() {
    return new EngineSettings(120_000, 20_000, 150, 60, 70, 2_048, 128, 16_000);
  }

  /** Returns the time of a decode step, in nanoseconds. */
  public double stepNanos(int sequences, long heldTokens, long prefillTokens) {
    return 1_000
            * (baseStepMicros + sequenceMicros * sequences + prefillTokenMicros * prefillTokens)
        + heldTokenNanos * heldTokens;
  }
}
