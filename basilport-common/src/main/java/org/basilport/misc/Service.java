package org.basilport.misc;

import java.util.concurrent.CompletableFuture;

/** A component with a life cycle. */
public interface Service {

  /** Starts the component; the result completes when it is ready for use. */
  CompletableFuture<Void> start();

  /** Stops the component and frees what it holds; stopping twice is allowed. */
  CompletableFuture<Void> stop();
}
