package org.basilport.claim;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Calls application services; safe to use from any thread. */
public final class PlainCallExecutor {
  private final PlainCallEnvironment environment;
  private final ReplicaSelector replicas;
  private final Set<String> active = ConcurrentHashMap.newKeySet();

  /** Creates an executor without active calls. */
  public PlainCallExecutor(PlainCallEnvironment environment) {
    this.environment = environment;
    this.replicas = new ReplicaSelector(environment.backends());
  }

  /**
   * Calls a service. A request that is not repeatable is sent only under a claim on its key.
   *
   * @param work the call; if it is not repeatable, its key must have been validated
   */
  public CompletableFuture<ServiceCallAnswer> call(PlainCallWork work) {
    ServiceCall call = new ServiceCall(environment, work, replicas);
    active.add(work.requestId());
    environment.traffic().execute(call::begin);
    return call.result().whenComplete((answer, failure) -> active.remove(work.requestId()));
  }

  /** Returns the ids of the active calls. */
  public List<String> active() {
    return List.copyOf(active);
  }
}
