package org.basilport.standin.contract;

import org.basilport.engine.ModelEngine;

class SimulatedEngineContractTest extends ModelEngineContract {
  @Override
  TestClock clock() {
    return TestClock.virtualTime();
  }

  @Override
  ModelEngine engine() {
    return simulatedEngine;
  }

  @Override
  void refuseConnections() {
    simulatedEngine.faults().refuseConnections(true);
  }
}
