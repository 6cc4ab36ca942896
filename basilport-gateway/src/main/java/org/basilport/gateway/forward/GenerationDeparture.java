package org.basilport.gateway.forward;

import org.basilport.gateway.backend.DepartureListener;

/** Starts the move of a generation when its engine begins to leave. */
final class GenerationDeparture implements DepartureListener {
  /** Producing one output token takes about as long as the prefill of ten prompt tokens. */
  private static final int OUTPUT_WEIGHT = 10;

  private final StreamedExchange exchange;

  GenerationDeparture(StreamedExchange exchange) {
    this.exchange = exchange;
  }

  @Override
  public long memoryTokens() {
    return exchange.server == null ? 0 : exchange.usedTokens();
  }

  @Override
  public double completionValue() {
    return exchange
        .request
        .generationSize()
        .map(size -> (double) size.promptTokens() + OUTPUT_WEIGHT * size.maxOutputTokens())
        .orElse(0.0);
  }

  @Override
  public void onDeparture(long delayNanos) {
    exchange.onServerLeaving(delayNanos);
  }
}
