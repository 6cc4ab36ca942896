package org.basilport.claim;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Calls plain services; safe to use from any thread. */
public final class ServiceCallExecutor {
  private final ServiceCallEnvironment environment;
  private final ReplicaChoice replicas;
  private final Set<String> activeRequestIds = ConcurrentHashMap.newKeySet();

  /** Creates an executor without calls. */
  public ServiceCallExecutor(ServiceCallEnvironment environment) {
    this.environment = environment;
    this.replicas = new ReplicaChoice(environment.backends());
  }

  /**
   * Calls a service. A request that may not be repeated is sent only under a claim of its key.
   *
   * @param work the call; its key was checked when the call is not repeatable
   */
  public CompletableFuture<ServiceCallAnswer> call(ServiceCallTask work) {
    ServiceCall call = new ServiceCall(environment, work, replicas);
    activeRequestIds.add(work.requestId());
    environment.traffic().execute(call::begin);
    return call.result()
        .whenComplete((answer, failure) -> activeRequestIds.remove(work.requestId()));
  }

  /** Ids of the calls in progress. */
  public List<String> activeRequestIds() {
    return List.copyOf(activeRequestIds);
  }
}
