package org.basilport.misc;

import java.util.concurrent.CompletableFuture;

/** Component with a life cycle. */
public interface Service {

  /** Starts the component; the result completes when it is ready for use. */
  CompletableFuture<Void> start();

  /** Stops the component and releases its resources; idempotent. */
  CompletableFuture<Void> stop();
}
