package org.basilport.backend;

import org.basilport.engine.EngineReport;

/** Learns of changes of backend servers, on the control thread. */
public interface BackendListener {

  /** An incarnation of a backend server died without having been announced as leaving. */
  default void onDeath(BackendServer server) {}

  /** A backend server was marked as leaving. */
  default void onLeaving(BackendServer server) {}

  /** A model engine reported its load. */
  default void onLoadReport(BackendServer server, EngineReport report) {}
}
