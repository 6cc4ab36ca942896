package org.basilport.gateway.backend;

/** Represents a generation on an engine and is notified when the engine starts to leave. */
public interface DepartureListener {

  /** KV cache that the generation uses, in tokens. */
  long memoryTokens();

  /** Value of completing the generation, in any unit that is the same for all generations. */
  double completionValue();

  /**
   * Called when the engine starts to leave and the generation was selected to be moved.
   *
   * @param delayNanos time until the move starts, which staggers the copies on the engine's network
   *     link
   */
  void onDeparture(long delayNanos);
}
