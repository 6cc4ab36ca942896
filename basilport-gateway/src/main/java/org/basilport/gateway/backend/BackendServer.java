package org.basilport.gateway.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilport.gateway.config.EngineCapacity;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.policy.dispatch.MoveCandidateSelector;
import org.basilport.policy.dispatch.MoveSchedule;
import org.basilport.policy.dispatch.ServerLoad;

/** A backend server with its connections and load. */
public final class BackendServer {
  private final ServerEntry entry;

  /**
   * Part of the connections of a server that the instances share; the rest is for probes, for
   * orders to engines and for connections of instances that left.
   */
  private static final double CONNECTION_SHARE = 0.9;

  private final int maxConnections;
  private final Optional<EngineCapacity> engine;
  private final ServerLoad load;
  private final ConnectionPool connections;
  private final List<DepartureListener> departureListeners = new ArrayList<>();
  private boolean dead;

  /** Creates a server that has no work yet. */
  public BackendServer(
      ServerEntry entry, ForwardingService service, ServerLoad load, ConnectionPool connections) {
    this.entry = entry;
    this.maxConnections = service.maxConnections();
    this.engine = service.engine();
    this.load = load;
    this.connections = connections;
  }

  /** What the directory says of the server. */
  public ServerEntry entry() {
    return entry;
  }

  /** Records that the server is gone without having announced to leave. */
  void markDead() {
    dead = true;
  }

  /** Whether the loss of a connection is explained by an announced departure. */
  public boolean announcedDeparture() {
    return load.leaving() && !dead;
  }

  /** Capacity of the engine; empty for a plain server. */
  public Optional<EngineCapacity> engine() {
    return engine;
  }

  /** Load and behaviour of the server. */
  public ServerLoad load() {
    return load;
  }

  /**
   * Whether a request can be sent without taking a connection from another instance. Each request
   * takes one, and a new one is opened only when none is idle.
   *
   * @param instances number of instances that share the connections which the server accepts
   */
  public boolean hasConnection(int instances) {
    int share = (int) (CONNECTION_SHARE * maxConnections / Math.max(1, instances));
    return load.ownWork().requests() < Math.max(1, share);
  }

  /** Connections to the server. */
  public ConnectionPool connections() {
    return connections;
  }

  /** Calls a listener once when the server starts to leave. */
  public void onDeparture(DepartureListener listener) {
    departureListeners.add(listener);
  }

  /** Removes a listener. */
  public void removeDepartureListener(DepartureListener listener) {
    departureListeners.remove(listener);
  }

  /** Marks the server as leaving and tells once the listeners whose generations can be moved. */
  public void startDeparture() {
    if (load.leaving()) {
      return;
    }
    load.markLeaving();
    List<MoveCandidateSelector.Candidate<DepartureListener>> candidates =
        departureListeners.stream()
            .map(
                listener ->
                    new MoveCandidateSelector.Candidate<>(
                        listener, listener.memoryTokens(), listener.completionValue()))
            .toList();
    departureListeners.clear();
    double copyNanos = engine.map(EngineCapacity::copyNanosPerToken).orElse(0.0);
    List<MoveCandidateSelector.Candidate<DepartureListener>> selected =
        MoveCandidateSelector.select(candidates, load.totalWork().memoryTokens(), copyNanos);
    List<Long> delays =
        MoveSchedule.delays(
            load.precedingMemoryTokens(),
            selected.stream().map(MoveCandidateSelector.Candidate::memoryTokens).toList(),
            copyNanos);
    for (int i = 0; i < selected.size(); i++) {
      selected.get(i).generation().onDeparture(delays.get(i));
    }
  }
}
