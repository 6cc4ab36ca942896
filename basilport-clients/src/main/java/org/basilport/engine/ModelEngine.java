package org.basilport.engine;

import java.util.concurrent.CompletableFuture;

/**
 * Client of one model engine.
 *
 * <p>Operations fail with {@code BackendException}: NOT_RUN if no byte can have reached the engine
 * or the engine rejected the request, otherwise MAY_HAVE_RUN.
 */
public interface ModelEngine {

  /** Starts a generation and streams it from its first token. */
  TokenStream generate(EngineRequest request, TokenListener listener);

  /**
   * Streams a running or recently ended generation from a token offset. Fails with NOT_FOUND if the
   * engine does not know the generation. A new reader replaces the previous one.
   */
  TokenStream resume(String generationId, long offset, TokenListener listener);

  /**
   * Cancels a generation; returns whether it was cancelled.
   *
   * @param onlyIfUnattached cancel only if no reader is attached when the engine handles the
   *     request
   */
  CompletableFuture<Boolean> cancel(String generationId, boolean onlyIfUnattached);

  /** Returns the load, which may be out of date. */
  CompletableFuture<EngineReport> report();

  /** Sends an order; fails with {@code ConflictException} if its fencing token is outdated. */
  CompletableFuture<Void> order(EngineOrder order);
}
