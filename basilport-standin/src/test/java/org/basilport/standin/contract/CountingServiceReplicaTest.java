package org.basilport.standin.contract;

import org.basilport.service.ServiceReplica;
import org.basilport.standin.service.ServiceFault;

class CountingServiceReplicaTest extends ServiceReplicaContract {
  @Override
  TestClock clock() {
    return TestClock.virtualTime();
  }

  @Override
  ServiceReplica service() {
    return countingServiceReplica;
  }

  @Override
  void refuseConnections() {
    countingServiceReplica.faults().failNext(ServiceFault.REFUSED_CONNECT);
  }
}
