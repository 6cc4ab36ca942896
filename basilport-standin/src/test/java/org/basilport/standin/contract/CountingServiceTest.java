package org.basilport.standin.contract;

import org.basilport.service.ServiceReplica;
import org.basilport.standin.service.ServiceFault;

class CountingServiceTest extends ServiceReplicaContract {
  @Override
  TestClock clock() {
    return TestClock.virtualTime();
  }

  @Override
  ServiceReplica service() {
    return countingService;
  }

  @Override
  void refuseConnections() {
    countingService.faults().failNext(ServiceFault.REFUSED_CONNECT);
  }
}
