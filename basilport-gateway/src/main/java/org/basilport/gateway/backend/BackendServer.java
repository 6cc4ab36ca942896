package org.basilport.gateway.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilport.gateway.config.EngineCapacity;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.message.ServerResponse;
import org.basilport.policy.dispatch.MoveCandidateSelector;
import org.basilport.policy.dispatch.MoveSchedule;
import org.basilport.policy.dispatch.ServerLoad;

/** Backend server with its connection pool and load. */
public final class BackendServer {
  private final ServerEntry entry;

  /**
   * Fraction of the connections of a server that the instances share. The rest is reserved for
   * probes, for requests to move generations and for connections of instances that have left.
   */
  private static final double CONNECTION_SHARE = 0.9;

  private final int maxConnections;
  private final Optional<EngineCapacity> engine;
  private final ServerLoad load;
  private final ConnectionPool connections;
  private final List<DepartureListener> departureListeners = new ArrayList<>();
  private boolean dead;
  private long leavingSinceNanos;

  /** Creates a server without outstanding work. */
  public BackendServer(
      ServerEntry entry, ForwardingService service, ServerLoad load, ConnectionPool connections) {
    this.entry = entry;
    this.maxConnections = service.maxConnections();
    this.engine = service.engine();
    this.load = load;
    this.connections = connections;
  }

  /** Directory entry of the server. */
  public ServerEntry entry() {
    return entry;
  }

  /** Records that the server terminated without having announced its departure. */
  void markDead() {
    dead = true;
  }

  /** Whether the server has announced its departure, which explains the loss of a connection. */
  public boolean announcedDeparture() {
    return load.leaving() && !dead;
  }

  /** Whether the server does not leave, or has been known to leave for less than the given time. */
  public boolean leavingForLessThan(Duration time) {
    return !load.leaving() || System.nanoTime() - leavingSinceNanos < time.toNanos();
  }

  /** Capacity of the engine; empty for a server that is no model engine. */
  public Optional<EngineCapacity> engine() {
    return engine;
  }

  /**
   * Records an answer by which the server failed or refused a request. One that asks for a pause is
   * no sign of bad health.
   */
  public void recordFailedAnswer(ServerResponse response) {
    if (response.notice().pause().isEmpty()) {
      load.health().recordFailure(System.nanoTime());
    }
  }

  /** Load and health of the server. */
  public ServerLoad load() {
    return load;
  }

  /**
   * Whether a request can be sent within this instance's share of the connections. Each request
   * uses one connection, and a new one is opened only if none is idle.
   *
   * @param instances number of instances that share the connection limit of the server
   */
  public boolean hasConnection(int instances) {
    int share = (int) (CONNECTION_SHARE * maxConnections / Math.max(1, instances));
    return load.ownWork().requests() < Math.max(1, share);
  }

  public ConnectionPool connections() {
    return connections;
  }

  /** Adds a listener that is called once when the server starts to leave. */
  public void onDeparture(DepartureListener listener) {
    departureListeners.add(listener);
  }

  public void removeDepartureListener(DepartureListener listener) {
    departureListeners.remove(listener);
  }

  /**
   * Marks the server as leaving and notifies the listeners of the generations that are selected to
   * be moved. Has no effect on a leaving server.
   */
  public void startDeparture() {
    if (load.leaving()) {
      return;
    }
    load.markLeaving();
    leavingSinceNanos = System.nanoTime();
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
