package org.basilport.standin.contract;

import org.basilport.service.ServiceReplica;
import org.basilport.standin.service.ServiceFault;

class CountingServiceTest extends ServiceReplicaContract {
  @Override
  Timing timing() {
    return Timing.virtual();
  }

  @Override
  ServiceReplica service() {
    return counting;
  }

  @Override
  void refuseConnections() {
    counting.faults().failNext(ServiceFault.REFUSED_CONNECT);
  }
}
