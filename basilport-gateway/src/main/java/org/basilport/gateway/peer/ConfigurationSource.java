package org.basilport.gateway.peer;

/** Reads the configuration from the platform's object store. Safe to call from any thread. */
public interface ConfigurationSource {

  /** Sets whether this instance watches the store or reads it on request only. */
  void setWatching(boolean watching);

  /** Reads the configuration once if this instance does not watch the store. */
  void refresh();
}
