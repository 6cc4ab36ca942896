package org.basilport.gateway.forward;

import org.basilport.gateway.backend.DepartureListener;
import org.basilport.policy.dispatch.ContendingRequest;

/** Starts the move of a generation when its engine begins to leave. */
final class GenerationDeparture implements DepartureListener {
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
        .map(
            size ->
                size.promptTokens()
                    + (double) ContendingRequest.OUTPUT_TOKEN_WEIGHT * size.maxOutputTokens())
        .orElse(0.0);
  }

  @Override
  public void onDeparture(long delayNanos) {
    exchange.onServerLeaving(delayNanos);
  }
}
