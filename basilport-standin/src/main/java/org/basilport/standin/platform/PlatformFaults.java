package org.basilport.standin.platform;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Fault injection for the platform; every setting can be changed at any time from any thread. */
public final class PlatformFaults {
  private final Runnable onReachabilityChange;
  private final Set<String> partitioned = ConcurrentHashMap.newKeySet();
  private final AtomicInteger responsesToLose = new AtomicInteger();
  private volatile boolean outage;
  private volatile Duration latency = Duration.ofMillis(3);
  private volatile Duration additionalLatency = Duration.ZERO;
  private volatile Duration lostResponseTimeout = Duration.ofMillis(500);
  private volatile Duration instanceDirectoryLag = Duration.ZERO;
  private volatile double lostResponseProbability;

  PlatformFaults(Runnable onReachabilityChange) {
    this.onReachabilityChange = onReachabilityChange;
  }

  /** Starts or ends an outage, during which all calls fail; waiting watches fail when it starts. */
  public void outage(boolean down) {
    outage = down;
    onReachabilityChange.run();
  }

  /** Partitions one client from the platform, or ends its partition. */
  public void partition(String clientId, boolean unreachable) {
    if (unreachable) {
      partitioned.add(clientId);
    } else {
      partitioned.remove(clientId);
    }
    onReachabilityChange.run();
  }

  /** Sets the round-trip latency without the additional latency. */
  public void latency(Duration value) {
    latency = value;
  }

  /** Sets additional round-trip latency, zero for none. */
  public void additionalLatency(Duration value) {
    additionalLatency = value;
  }

  /** Loses the response to the next write or delete, which still takes effect. */
  public void loseNextWriteResponse() {
    responsesToLose.incrementAndGet();
  }

  /** Loses responses to writes and deletes with a probability from 0 to 1. */
  public void loseWriteResponses(double probability) {
    lostResponseProbability = probability;
  }

  /** Sets the client's timeout for a lost response. */
  public void lostResponseTimeout(Duration value) {
    lostResponseTimeout = value;
  }

  /** Sets the delay after which changes of the instance directory become visible. */
  public void instanceDirectoryLag(Duration value) {
    instanceDirectoryLag = value;
  }

  /** Whether calls of a client fail because of an outage or a partition. */
  public boolean isUnreachable(String clientId) {
    return outage || partitioned.contains(clientId);
  }

  Duration oneWayLatency() {
    return latency.plus(additionalLatency).dividedBy(2);
  }

  Duration lostResponseTimeout() {
    return lostResponseTimeout;
  }

  Duration instanceDirectoryLag() {
    return instanceDirectoryLag;
  }

  boolean drawResponseLoss(double sample) {
    int remaining = responsesToLose.getAndUpdate(count -> Math.max(0, count - 1));
    return remaining > 0 || sample < lostResponseProbability;
  }
}
