package org.basilport.standin.contract;

import org.basilport.engine.ModelEngine;
import org.basilport.engine.http.HttpModelEngineConnector;
import org.basilport.http.HttpTimeouts;
import org.basilport.http.HttpTransport;
import org.basilport.standin.http.EngineHttpServer;
import org.junit.jupiter.api.AfterEach;

class HttpModelEngineTest extends ModelEngineContract {
  private final HttpTransport transport = HttpTransport.standalone(1, HttpTimeouts.defaults());
  private final EngineHttpServer server = new EngineHttpServer(simulatedEngine, 0);

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
  ModelEngine engine() {
    return new HttpModelEngineConnector(transport).connect(server.address());
  }

  @Override
  void refuseConnections() {
    server.stop().join();
  }
}
