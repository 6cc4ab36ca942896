package org.basilport.standin.contract;

import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.WeightStore;

class MemoryPlatformTest extends ObjectStoreContract {
  @Override
  TestClock clock() {
    return TestClock.virtualTime();
  }

  @Override
  ObjectStore store() {
    return platform.client(CLIENT);
  }

  @Override
  InstanceDirectory directory() {
    return platform.client(CLIENT);
  }

  @Override
  WeightStore weights() {
    return platform.client(CLIENT);
  }
}
