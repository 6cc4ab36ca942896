package org.basilport.platform;

import java.util.concurrent.CompletableFuture;

/** The store of model weights, which limits the rate of fetches. */
@FunctionalInterface
public interface WeightStore {

  /**
   * Reserves a fetch of the weights of a model version; fails with {@code RejectedException} and a
   * retry delay if the limit is reached.
   */
  CompletableFuture<Void> reserveFetch(String model, String version);
}
