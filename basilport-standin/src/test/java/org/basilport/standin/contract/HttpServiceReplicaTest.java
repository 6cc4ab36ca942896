package org.basilport.standin.contract;

import org.basilport.http.HttpTimeouts;
import org.basilport.http.HttpTransport;
import org.basilport.service.ServiceReplica;
import org.basilport.service.http.HttpServiceReplicaConnector;
import org.basilport.standin.http.ServiceHttpServer;
import org.junit.jupiter.api.AfterEach;

class HttpServiceReplicaTest extends ServiceReplicaContract {
  private final HttpTransport transport = HttpTransport.standalone(1, HttpTimeouts.defaults());
  private final ServiceHttpServer server = new ServiceHttpServer(countingServiceReplica, 0);

  @Override
  TestClock clock() {
    return TestClock.realTime();
  }

  @Override
  void open() {
    server.start().join();
  }

  @AfterEach
  void close() {
    transport.close();
    server.stop().join();
  }

  @Override
  ServiceReplica service() {
    return new HttpServiceReplicaConnector(transport).connect(server.address());
  }

  @Override
  void refuseConnections() {
    server.stop().join();
  }
}
