package org.basilport.gateway.backend;

/** A generation on an engine; told when the engine starts to leave. */
public interface DepartureListener {

  /** Memory that the generation uses now, in tokens. */
  long memoryTokens();

  /** Worth of its completion in any unit that is the same for all generations. */
  double completionValue();

  /**
   * The engine leaves and the generation should be moved to another one.
   *
   * @param delayNanos time until its turn on the engine's link
   */
  void onDeparture(long delayNanos);
}
