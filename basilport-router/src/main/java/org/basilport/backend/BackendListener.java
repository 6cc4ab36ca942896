package org.basilport.backend;

import org.basilport.engine.EngineReport;

/** Receives changes of backend servers, on the control thread. */
public interface BackendListener {

  /** Called when an incarnation of a backend server crashed, that is, ended without leaving. */
  default void onCrash(BackendServer server) {}

  /** Called when a backend server was marked as leaving. */
  default void onLeaving(BackendServer server) {}

  /** Called when a model engine reported its load. */
  default void onLoadReport(BackendServer server, EngineReport report) {}
}
