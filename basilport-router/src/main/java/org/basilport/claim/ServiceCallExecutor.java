package org.basilport.claim;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Calls application services; safe to use from any thread. */
public final class ServiceCallExecutor {
  private final ServiceCallEnvironment environment;
  private final ServiceCallReplicaSelector replicas;
  private final Set<String> activeRequestIds = ConcurrentHashMap.newKeySet();

  /** Creates an executor without active calls. */
  public ServiceCallExecutor(ServiceCallEnvironment environment) {
    this.environment = environment;
    this.replicas = new ServiceCallReplicaSelector(environment.backends());
  }

  /**
   * Calls a service. A request that is not repeatable is sent only under a claim on its key.
   *
   * @param task the call; if it is not repeatable, its key must have been validated
   */
  public CompletableFuture<ServiceCallResult> call(ServiceCallTask task) {
    ServiceCall call = new ServiceCall(environment, task, replicas);
    activeRequestIds.add(task.requestId());
    environment.traffic().execute(call::begin);
    return call.result()
        .whenComplete((result, failure) -> activeRequestIds.remove(task.requestId()));
  }

  /** Returns the ids of the active calls. */
  public List<String> activeRequestIds() {
    return List.copyOf(activeRequestIds);
  }
}
