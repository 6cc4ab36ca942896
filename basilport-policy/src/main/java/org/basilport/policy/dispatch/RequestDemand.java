package org.basilport.policy.dispatch;

/**
 * What a request needs from a backend server.
 *
 * @param promptTokens tokens of the prompt, 0 for a plain call
 * @param memoryTokens key-value memory that is set aside for it, in tokens
 */
public record RequestDemand(int promptTokens, long memoryTokens) {

  /** A call to a plain service. */
  public static final RequestDemand SERVICE_CALL = new RequestDemand(0, 0);

  /**
   * Share of the expected output for which memory is set aside. Generations of a batch are at
   * different points of their output, so they rarely need their full memory at the same time.
   */
  private static final double OUTPUT_SHARE = 0.9;

  /**
   * Memory that is added when a generation outgrows its estimate; engines take some seconds to fill
   * it, so the growth of a long generation is reported rarely.
   */
  private static final long GROWTH_TOKENS = 256;

  /** A generation with an estimate of its output. */
  public static RequestDemand generation(int promptTokens, int expectedOutputTokens) {
    return new RequestDemand(
        promptTokens, promptTokens + Math.round(OUTPUT_SHARE * expectedOutputTokens));
  }

  /**
   * Memory to set aside for a generation that has outgrown its estimate, in tokens; the same as
   * before for one that has not.
   *
   * @param setAside memory that is set aside now
   * @param used memory that prompt and output take now
   */
  public static long memoryAfterGrowth(long setAside, long used) {
    return used > setAside ? used + GROWTH_TOKENS : setAside;
  }

  /** The work that the request adds to a server. */
  public OutstandingWork toWork() {
    return new OutstandingWork(1, promptTokens, memoryTokens);
  }
}
