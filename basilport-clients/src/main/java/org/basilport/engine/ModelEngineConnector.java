package org.basilport.engine;

/** Gives access to the model engine at an address. */
@FunctionalInterface
public interface ModelEngineConnector {

  /** Returns a client of the engine at an IP address and port; opens no connection yet. */
  ModelEngine connect(String address);
}
