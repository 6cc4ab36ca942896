package org.basilport.policy.dispatch;

/**
 * Resources that a request needs from a backend server.
 *
 * @param promptTokens length of the prompt, in tokens; 0 for a service call
 * @param memoryTokens key-value memory reserved for the request, in tokens
 */
public record RequestDemand(int promptTokens, long memoryTokens) {

  /** Demand of a call to an application service. */
  public static final RequestDemand SERVICE_CALL = new RequestDemand(0, 0);

  /**
   * Share of the expected output for which memory is reserved. The generations of a batch are at
   * different points of their output and rarely need their full memory at the same time.
   */
  private static final double RESERVED_OUTPUT_SHARE = 0.9;

  /**
   * Memory that is reserved beyond the current use when a generation outgrows its reservation. An
   * engine takes some seconds to fill it, so the growth of a long generation is rarely reported.
   */
  private static final long GROWTH_TOKENS = 256;

  /** Demand of a generation with an estimated output length. */
  public static RequestDemand generation(int promptTokens, int expectedOutputTokens) {
    return new RequestDemand(
        promptTokens, promptTokens + Math.round(RESERVED_OUTPUT_SHARE * expectedOutputTokens));
  }

  /**
   * Returns the memory to reserve for a running generation, in tokens; unchanged for a generation
   * that has not outgrown its reservation.
   *
   * @param reservedTokens memory that is reserved now
   * @param usedTokens memory that prompt and output use now
   */
  public static long memoryAfterGrowth(long reservedTokens, long usedTokens) {
    return usedTokens > reservedTokens ? usedTokens + GROWTH_TOKENS : reservedTokens;
  }

  /** Returns the work that the request adds to a server. */
  public OutstandingWork toWork() {
    return new OutstandingWork(1, promptTokens, memoryTokens);
  }
}
