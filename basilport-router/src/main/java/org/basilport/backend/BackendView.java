package org.basilport.backend;

import java.util.List;
import java.util.Optional;
import org.basilport.engine.EngineReport;

/** Backend servers as seen by this instance; safe to read from any thread. */
public interface BackendView {

  /** Returns the backend servers of a service that may receive new work. */
  List<BackendServer> candidates(String service);

  /** Finds a backend server by id, including a leaving one. */
  Optional<BackendServer> find(String serverId);

  /** Returns all known backend servers. */
  List<BackendServer> servers();

  /** Returns the latest report of a model engine, empty before the first report. */
  Optional<EngineReport> latestReport(String serverId);

  /** Adds a listener, which is called on the control thread. */
  void addListener(BackendListener listener);
}
