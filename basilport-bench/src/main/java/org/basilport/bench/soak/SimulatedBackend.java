package org.basilport.bench.soak;

import java.util.Optional;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.standin.engine.SimulatedEngine;
import org.basilport.standin.service.CountingServiceReplica;

/**
 * A simulated backend server, an engine or a service replica, with its instance directory entry.
 */
final class SimulatedBackend {
  private static final int FIRST_PORT = 9000;
  private static final int SERVICE_PORT_OFFSET = 500;

  private final SoakSimulation simulation;
  private final SimulatedEngine engine;
  private final CountingServiceReplica service;
  private final String id;
  private final String address;
  private final String dataCentre;
  private boolean injectedCrash;

  private SimulatedBackend(
      SoakSimulation simulation,
      int index,
      SimulatedEngine engine,
      CountingServiceReplica service) {
    this.simulation = simulation;
    this.engine = engine;
    this.service = service;
    this.id = engine != null ? engine.name() : service.name();
    int port = FIRST_PORT + index + (engine == null ? SERVICE_PORT_OFFSET : 0);
    this.address = "127.0.0.1:" + port;
    this.dataCentre = SoakConfiguration.DATA_CENTRES.get(index % 3);
    updateInstanceList(InstanceState.LIVE);
  }

  static SimulatedBackend engine(SoakSimulation simulation, int index, SimulatedEngine engine) {
    return new SimulatedBackend(simulation, index, engine, null);
  }

  static SimulatedBackend service(
      SoakSimulation simulation, int index, CountingServiceReplica service) {
    return new SimulatedBackend(simulation, index, null, service);
  }

  Optional<SimulatedEngine> engine() {
    return Optional.ofNullable(engine);
  }

  Optional<CountingServiceReplica> service() {
    return Optional.ofNullable(service);
  }

  String id() {
    return id;
  }

  String address() {
    return address;
  }

  boolean down() {
    return engine != null ? engine.isDown() : service.isDown();
  }

  /** Crashes the server as an injected fault; does nothing while it is down. */
  void crash() {
    if (down()) {
      return;
    }
    injectedCrash = true;
    if (engine != null) {
      engine.crash();
    } else {
      service.crash();
    }
  }

  /** Returns whether the latest crash was injected, and not caused by a request. */
  boolean crashInjected() {
    return injectedCrash;
  }

  /** Restarts the server with a new incarnation and updates its instance directory entry. */
  void restart() {
    injectedCrash = false;
    if (engine != null) {
      engine.restart();
    } else {
      service.restart();
    }
    updateInstanceList(InstanceState.LIVE);
  }

  /**
   * Marks the server as leaving in the instance directory.
   *
   * @param informServer whether the server itself also reports that it is leaving
   */
  void markLeaving(boolean informServer) {
    updateInstanceList(InstanceState.LEAVING);
    if (!informServer) {
      return;
    }
    if (engine != null) {
      engine.markLeaving();
    } else {
      service.markLeaving();
    }
  }

  private void updateInstanceList(InstanceState state) {
    String serviceName =
        engine != null ? SoakConfiguration.MODEL_SERVICE : SoakConfiguration.APPLICATION_SERVICE;
    long incarnation = engine != null ? engine.incarnation() : service.incarnation();
    simulation.platform.putInstance(
        new ListedInstance(
            id,
            InstanceKind.BACKEND,
            serviceName,
            SoakConfiguration.REGION,
            dataCentre,
            address,
            "",
            state,
            incarnation));
  }
}
