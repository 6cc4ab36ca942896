package org.basilport.standin.contract;

import org.basilport.engine.ModelEngine;
import org.basilport.engine.http.HttpModelEngineConnector;
import org.basilport.http.HttpTimeouts;
import org.basilport.http.HttpTransport;
import org.basilport.standin.http.EngineHttpServer;
import org.junit.jupiter.api.AfterEach;

class HttpModelEngineTest extends ModelEngineContract {
  private final HttpTransport connector = HttpTransport.standalone(1, HttpTimeouts.defaults());
  private final EngineHttpServer server = new EngineHttpServer(simulated, 0);

  @Override
  Timing timing() {
    return Timing.real();
  }

  @Override
  void open() {
    server.start().join();
  }

  @AfterEach
  void close() {
    connector.close();
    server.stop().join();
  }

  @Override
  ModelEngine engine() {
    return new HttpModelEngineConnector(connector).connect(server.address());
  }

  @Override
  void refuseConnections() {
    server.stop().join();
  }
}
