package org.basilport.delivery;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Measurements of generations, calls and claims, per workspace with a bounded number of series. */
public final class TrafficMetrics {
  /** Gaps between tokens above this count as stall time. */
  static final Duration STALL_THRESHOLD = Duration.ofMillis(250);

  // More series than this would let the memory and the page of metrics grow with the workspaces.
  private static final int NAMED_WORKSPACES = 50;
  private static final String OTHER = "other";

  private final MetricRegistry registry;
  private final Set<String> named = ConcurrentHashMap.newKeySet();

  /** Creates measurements that are kept in a registry. */
  public TrafficMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /** Counts an occurrence for a workspace. */
  public void count(String name, String workspace) {
    registry.counter(series(name, workspace)).inc();
  }

  /** Records the time from the request to its first token. */
  public void firstToken(String workspace, Duration time) {
    registry.histogram(series("generation.firstTokenMillis", workspace)).update(time.toMillis());
  }

  /** Records the time between two deliveries of tokens. */
  public void tokenGap(String workspace, Duration gap) {
    registry.histogram(series("generation.tokenGapMillis", workspace)).update(gap.toMillis());
    if (gap.compareTo(STALL_THRESHOLD) > 0) {
      long excess = gap.minus(STALL_THRESHOLD).toMillis();
      registry.counter(series("generation.stallMillis", workspace)).inc(excess);
    }
  }

  /** Changes the number of waiting generations of a service by a difference. */
  public void queueLength(String service, long difference) {
    registry.counter("generation.queueLength." + service).inc(difference);
  }

  /** Counts preemptions that the engines of a service reported. */
  public void preempted(String service, long number) {
    registry.counter("generation.preempted." + service).inc(number);
  }

  /** Counts a call of the platform that failed for another reason than a conflict. */
  public void countPlatformFailure(String operation) {
    registry.counter("platform.failed." + operation).inc();
  }

  private String series(String name, String workspace) {
    return name + "." + label(workspace);
  }

  private String label(String workspace) {
    if (named.contains(workspace)) {
      return workspace;
    }
    synchronized (named) {
      if (named.size() < NAMED_WORKSPACES) {
        named.add(workspace);
      }
    }
    return named.contains(workspace) ? workspace : OTHER;
  }
}
