package org.basilport.standin.contract;

import org.basilport.http.HttpTimeouts;
import org.basilport.http.HttpTransport;
import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.WeightStore;
import org.basilport.platform.http.HttpInstanceDirectory;
import org.basilport.platform.http.HttpObjectStore;
import org.basilport.platform.http.HttpWeightStore;
import org.basilport.standin.http.PlatformHttpServer;
import org.junit.jupiter.api.AfterEach;

class HttpPlatformTest extends ObjectStoreContract {
  private final HttpTransport transport = HttpTransport.standalone(1, HttpTimeouts.defaults());
  private final PlatformHttpServer server = new PlatformHttpServer(platform, 0);

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
  ObjectStore store() {
    return new HttpObjectStore(transport, server.address(), CLIENT);
  }

  @Override
  InstanceDirectory directory() {
    return new HttpInstanceDirectory(transport, server.address(), CLIENT);
  }

  @Override
  WeightStore weights() {
    return new HttpWeightStore(transport, server.address(), CLIENT);
  }
}
