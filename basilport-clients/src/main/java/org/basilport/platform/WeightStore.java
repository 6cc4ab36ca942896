package org.basilport.platform;

import java.util.concurrent.CompletableFuture;

/** The store of model weights, which limits how often weights may be fetched. */
@FunctionalInterface
public interface WeightStore {

  /**
   * Asks for permission to fetch the weights of a model version; fails with {@code
   * RejectedException} and a retry delay when the limit is reached.
   */
  CompletableFuture<Void> reserveFetch(String model, String version);
}
