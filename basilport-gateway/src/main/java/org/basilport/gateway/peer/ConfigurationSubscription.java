package org.basilport.gateway.peer;

/**
 * Subscription to the configuration in the platform's object store. Safe to call from any thread.
 */
public interface ConfigurationSubscription {

  /** Sets whether this instance watches the store or reads it on request only. */
  void setWatching(boolean watching);

  /** Reads the configuration once if this instance does not watch the store. */
  void refresh();

  /** Reads the evacuated data centres once if this instance does not watch the store. */
  default void refreshEvacuations() {}

  /** Stores what processes that start later need to know. */
  void recordClaims(FleetClaims claims);
}
