package org.basilport.bench.soak;

import java.util.Optional;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.standin.engine.SimulatedEngine;
import org.basilport.standin.service.CountingService;

/** A backend server of the run with its entry in the instance list. */
final class SimulatedBackend {
  private static final int FIRST_PORT = 9000;
  private static final int SERVICE_PORT_OFFSET = 500;

  private final SoakWorld world;
  private final SimulatedEngine engine;
  private final CountingService service;
  private final String id;
  private final String address;
  private final String dataCentre;
  private boolean plannedDeath;

  private SimulatedBackend(
      SoakWorld world, int index, SimulatedEngine engine, CountingService service) {
    this.world = world;
    this.engine = engine;
    this.service = service;
    this.id = engine != null ? engine.name() : service.name();
    int port = FIRST_PORT + index + (engine == null ? SERVICE_PORT_OFFSET : 0);
    this.address = "127.0.0.1:" + port;
    this.dataCentre = SoakConfiguration.DATA_CENTRES.get(index % 3);
    list(InstanceState.LIVE);
  }

  static SimulatedBackend engine(SoakWorld world, int index, SimulatedEngine engine) {
    return new SimulatedBackend(world, index, engine, null);
  }

  static SimulatedBackend service(SoakWorld world, int index, CountingService service) {
    return new SimulatedBackend(world, index, null, service);
  }

  Optional<SimulatedEngine> engine() {
    return Optional.ofNullable(engine);
  }

  Optional<CountingService> service() {
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

  /** Crashes the server as a fault of the environment. */
  void crash() {
    if (down()) {
      return;
    }
    plannedDeath = true;
    if (engine != null) {
      engine.crash();
    } else {
      service.crash();
    }
  }

  /** Whether the latest death was a fault of the environment, and not caused by a request. */
  boolean diedAsPlanned() {
    return plannedDeath;
  }

  /** Starts again with a new incarnation, also in the instance list. */
  void restart() {
    plannedDeath = false;
    if (engine != null) {
      engine.restart();
    } else {
      service.restart();
    }
    list(InstanceState.LIVE);
  }

  /** Marks the server as leaving in the instance list, and at itself when it knows. */
  void leave(boolean knows) {
    list(InstanceState.LEAVING);
    if (!knows) {
      return;
    }
    if (engine != null) {
      engine.markLeaving();
    } else {
      service.markLeaving();
    }
  }

  private void list(InstanceState state) {
    String serviceName = engine != null ? SoakConfiguration.MODEL_SERVICE : SoakConfiguration.SHELF;
    long incarnation = engine != null ? engine.incarnation() : service.incarnation();
    world.platform.putInstance(
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
