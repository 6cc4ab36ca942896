package org.basilport.bench.policy;

/**
 * Parameters of the engine model. Reports print them in the record's string form.
 *
 * @param capacityTokens capacity of the key-value cache, in tokens
 * @param baseStepMicros fixed time of a step, in microseconds
 * @param sequenceMicros additional time per decoded sequence, in microseconds
 * @param heldTokenNanos additional time per token held by decoded sequences, in nanoseconds
 * @param prefillTokenMicros additional time per prefilled prompt token, in microseconds
 * @param stepTokenBudget limit of decoded and prefilled tokens in one step
 * @param maxSequences limit of sequences in a batch
 * @param cacheTokens capacity of the prefix cache, in tokens
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

  /** Returns the parameters of a model of 70 billion parameters on four mid-size accelerators. */
  public static EngineSettings standard() {
    return new EngineSettings(120_000, 20_000, 150, 60, 70, 2_048, 128, 16_000);
  }

  /** Returns the duration of a step, in nanoseconds. */
  public double stepNanos(int sequences, long heldTokens, long prefillTokens) {
    return 1_000
            * (baseStepMicros + sequenceMicros * sequences + prefillTokenMicros * prefillTokens)
        + heldTokenNanos * heldTokens;
  }
}
