package org.basilport.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's directory of live and leaving instances, which may be out of date. */
@FunctionalInterface
public interface InstanceDirectory {

  /** Lists all instances; fails with {@code UnavailableException} during a platform outage. */
  CompletableFuture<List<ListedInstance>> list();
}
