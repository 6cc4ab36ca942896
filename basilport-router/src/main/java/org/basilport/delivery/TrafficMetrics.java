package org.basilport.delivery;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Metrics of generations, calls and claims, per workspace with a bounded number of series. */
public final class TrafficMetrics {
  /** The part of a gap between tokens above this threshold counts as stall time. */
  static final Duration STALL_THRESHOLD = Duration.ofMillis(250);

  // Bounds the memory and the size of the metrics page; later workspaces share one series.
  private static final int MAX_NAMED_WORKSPACES = 50;
  private static final String OTHER_WORKSPACES = "other";

  private final MetricRegistry registry;
  private final Set<String> namedWorkspaces = ConcurrentHashMap.newKeySet();

  /** Creates metrics that are registered in {@code registry}. */
  public TrafficMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /** Increments a counter of a workspace. */
  public void count(String name, String workspace) {
    registry.counter(series(name, workspace)).inc();
  }

  /** Records the time from the request to its first token. */
  public void recordFirstTokenLatency(String workspace, Duration time) {
    registry.histogram(series("generation.firstTokenMillis", workspace)).update(time.toMillis());
  }

  /** Records the time between two deliveries of tokens. */
  public void recordTokenGap(String workspace, Duration gap) {
    registry.histogram(series("generation.tokenGapMillis", workspace)).update(gap.toMillis());
    if (gap.compareTo(STALL_THRESHOLD) > 0) {
      long excess = gap.minus(STALL_THRESHOLD).toMillis();
      registry.counter(series("generation.stallMillis", workspace)).inc(excess);
    }
  }

  /** Adds {@code difference} to the number of queued generations of a service. */
  public void adjustQueueLength(String service, long difference) {
    registry.counter("generation.queueLength." + service).inc(difference);
  }

  /** Counts preemptions reported by the engines of a service. */
  public void countPreemptions(String service, long number) {
    registry.counter("generation.preempted." + service).inc(number);
  }

  /** Counts a platform call that failed for a reason other than a conflict. */
  public void countPlatformFailure(String operation) {
    registry.counter("platform.failed." + operation).inc();
  }

  private String series(String name, String workspace) {
    return name + "." + label(workspace);
  }

  private String label(String workspace) {
    if (namedWorkspaces.contains(workspace)) {
      return workspace;
    }
    synchronized (namedWorkspaces) {
      if (namedWorkspaces.size() < MAX_NAMED_WORKSPACES) {
        namedWorkspaces.add(workspace);
      }
    }
    return namedWorkspaces.contains(workspace) ? workspace : OTHER_WORKSPACES;
  }
}
