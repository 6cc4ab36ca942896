package org.basilport.gateway.peer;

/** Reads the configuration from the platform's store; safe to call from any thread. */
public interface ConfigurationSource {

  /** Sets whether this instance watches the store or reads it only on request. */
  void setWatching(boolean watching);

  /** Reads the configuration once, if the instance does not watch. */
  void refresh();
}
