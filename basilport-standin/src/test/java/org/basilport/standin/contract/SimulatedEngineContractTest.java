package org.basilport.standin.contract;

import org.basilport.engine.ModelEngine;

class SimulatedEngineContractTest extends ModelEngineContract {
  @Override
  Timing timing() {
    return Timing.virtual();
  }

  @Override
  ModelEngine engine() {
    return simulated;
  }

  @Override
  void refuseConnections() {
    simulated.faults().refuseConnections(true);
  }
}
