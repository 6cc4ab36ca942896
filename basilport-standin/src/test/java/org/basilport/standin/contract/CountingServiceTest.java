package org.basilport.standin.contract;

import org.basilport.service.PlainService;
import org.basilport.standin.service.ServiceFault;

class CountingServiceTest extends PlainServiceContract {
  @Override
  Timing timing() {
    return Timing.virtual();
  }

  @Override
  PlainService service() {
    return counting;
  }

  @Override
  void refuseConnections() {
    counting.faults().failNext(ServiceFault.REFUSED_CONNECT);
  }
}
