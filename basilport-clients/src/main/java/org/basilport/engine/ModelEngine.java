package org.basilport.engine;

import java.util.concurrent.CompletableFuture;

/**
 * One model engine.
 *
 * <p>Failures are {@code BackendException}: NOT_RUN when no byte can have reached the engine or the
 * engine refused the request, else MAY_HAVE_RUN.
 */
public interface ModelEngine {

  /** Starts a generation and reads it from its first token. */
  TokenStream generate(EngineRequest request, TokenListener listener);

  /**
   * Reads a running or recently ended generation from an offset. Fails with NOT_FOUND when the
   * engine does not have the generation. A new reader replaces the earlier one.
   */
  TokenStream resume(String generationId, long offset, TokenListener listener);

  /**
   * Cancels a generation; the result tells whether one was cancelled.
   *
   * @param onlyIfUnattached cancel only when no reader is attached at that moment
   */
  CompletableFuture<Boolean> cancel(String generationId, boolean onlyIfUnattached);

  /** Reports load, which lags behind the truth. */
  CompletableFuture<EngineReport> report();

  /** Gives an order; fails with {@code ConflictException} when its fencing token is too old. */
  CompletableFuture<Void> order(EngineOrder order);
}
