package org.basilport.gateway.backend;

import java.util.ArrayList;
import java.util.List;
import org.basilport.policy.dispatch.ServerLoad;

/** A backend server with its connections and load. */
public final class BackendServer {
  private final ServerEntry entry;
  private final ServerLoad load;
  private final ConnectionPool connections;
  private final List<Runnable> departureListeners = new ArrayList<>();

  /** Creates a server that has no work yet. */
  public BackendServer(ServerEntry entry, ServerLoad load, ConnectionPool connections) {
    this.entry = entry;
    this.load = load;
    this.connections = connections;
  }

  /** What the directory says of the server. */
  public ServerEntry entry() {
    return entry;
  }

  /** Load and behaviour of the server. */
  public ServerLoad load() {
    return load;
  }

  /** Connections to the server. */
  public ConnectionPool connections() {
    return connections;
  }

  /** Calls a listener once when the server starts to leave. */
  public void onDeparture(Runnable listener) {
    departureListeners.add(listener);
  }

  /** Removes a listener. */
  public void removeDepartureListener(Runnable listener) {
    departureListeners.remove(listener);
  }

  /** Marks the server as leaving and tells the listeners once. */
  public void depart() {
    if (load.leaving()) {
      return;
    }
    load.markLeaving();
    List<Runnable> listeners = List.copyOf(departureListeners);
    departureListeners.clear();
    listeners.forEach(Runnable::run);
  }
}
