package org.basilport.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving instances, which lags behind the truth. */
@FunctionalInterface
public interface InstanceDirectory {

  /** Lists all instances; fails with {@code UnavailableException} in an outage. */
  CompletableFuture<List<ListedInstance>> list();
}
