package org.basilport.standin.service;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.basilport.service.ServiceRequest;

/** Counts executions of requests; may be shared by the replicas of a service. */
public final class ExecutionCounts {
  private final Map<String, Integer> byKey = new ConcurrentHashMap<>();
  private final Map<String, Integer> byId = new ConcurrentHashMap<>();
  private volatile Duration longestStartDelayAfterLeaving = Duration.ZERO;

  /** Number of executions with a request key. */
  public int ofKey(String requestKey) {
    return byKey.getOrDefault(requestKey, 0);
  }

  /** Number of executions with a request id. */
  public int ofId(String requestId) {
    return byId.getOrDefault(requestId, 0);
  }

  /** Number of executions by request key. */
  public Map<String, Integer> byKey() {
    return Map.copyOf(byKey);
  }

  /** Longest time from a leaving mark to a call that started after it; zero if none did. */
  public Duration longestStartDelayAfterLeaving() {
    return longestStartDelayAfterLeaving;
  }

  /** Clears the counts by request id to bound memory use in long runs. */
  public void clearIds() {
    byId.clear();
  }

  synchronized void recordExecution(ServiceRequest request, Duration afterLeaving) {
    byId.merge(request.requestId(), 1, Integer::sum);
    if (!request.requestKey().isEmpty()) {
      byKey.merge(request.requestKey(), 1, Integer::sum);
    }
    if (afterLeaving.compareTo(longestStartDelayAfterLeaving) > 0) {
      longestStartDelayAfterLeaving = afterLeaving;
    }
  }
}
