package org.basilport.claim;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Calls plain services; safe to use from any thread. */
public final class PlainCallExecutor {
  private final PlainCallEnvironment environment;
  private final ReplicaChoice replicas;
  private final Set<String> active = ConcurrentHashMap.newKeySet();

  /** Creates an executor without calls. */
  public PlainCallExecutor(PlainCallEnvironment environment) {
    this.environment = environment;
    this.replicas = new ReplicaChoice(environment.backends());
  }

  /**
   * Calls a service. A request that may not be repeated is sent only under a claim of its key.
   *
   * @param work the call; its key was checked when the call is not repeatable
   */
  public CompletableFuture<PlainCallAnswer> call(PlainCallWork work) {
    PlainCall call = new PlainCall(environment, work, replicas);
    active.add(work.requestId());
    environment.traffic().execute(call::begin);
    return call.result().whenComplete((answer, failure) -> active.remove(work.requestId()));
  }

  /** Ids of the calls in progress. */
  public List<String> active() {
    return List.copyOf(active);
  }
}
