package org.basilport.standin.contract;

import org.basilport.http.HttpConnector;
import org.basilport.http.HttpTimeouts;
import org.basilport.service.PlainService;
import org.basilport.service.http.HttpPlainServiceConnector;
import org.basilport.standin.http.ServiceHttpServer;
import org.junit.jupiter.api.AfterEach;

class HttpPlainServiceTest extends PlainServiceContract {
  private final HttpConnector connector = HttpConnector.standalone(1, HttpTimeouts.defaults());
  private final ServiceHttpServer server = new ServiceHttpServer(counting, 0);

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
  PlainService service() {
    return new HttpPlainServiceConnector(connector).connect(server.address());
  }

  @Override
  void refuseConnections() {
    server.stop().join();
  }
}
