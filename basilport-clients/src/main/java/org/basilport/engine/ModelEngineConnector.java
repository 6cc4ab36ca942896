package org.basilport.engine;

/** Creates clients of model engines by address. */
@FunctionalInterface
public interface ModelEngineConnector {

  /**
   * Returns a client of the engine at an IP address and port; connects only with the first request.
   */
  ModelEngine connect(String address);
}
