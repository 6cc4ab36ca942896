package org.basilport.standin.platform;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Faults of the platform; each can be switched at any moment and from any thread. */
public final class PlatformFaults {
  private final Runnable onReachabilityChange;
  private final Set<String> partitioned = ConcurrentHashMap.newKeySet();
  private final AtomicInteger responsesToLose = new AtomicInteger();
  private volatile boolean outage;
  private volatile Duration latency = Duration.ofMillis(3);
  private volatile Duration slowness = Duration.ZERO;
  private volatile Duration lostResponseTimeout = Duration.ofMillis(500);
  private volatile Duration instanceLag = Duration.ZERO;
  private volatile double lostResponseProbability;

  PlatformFaults(Runnable onReachabilityChange) {
    this.onReachabilityChange = onReachabilityChange;
  }

  /** Starts or ends an outage: all calls fail, and waiting watches are cut off. */
  public void outage(boolean down) {
    outage = down;
    onReachabilityChange.run();
  }

  /** Cuts off one client from the platform, or connects it again. */
  public void partition(String clientId, boolean unreachable) {
    if (unreachable) {
      partitioned.add(clientId);
    } else {
      partitioned.remove(clientId);
    }
    onReachabilityChange.run();
  }

  /** Sets the usual time of an answer. */
  public void latency(Duration value) {
    latency = value;
  }

  /** Sets time that is added to each answer; zero ends the slowness. */
  public void slowness(Duration value) {
    slowness = value;
  }

  /** Loses the answer of the next write or delete; the change takes effect. */
  public void loseNextWriteResponse() {
    responsesToLose.incrementAndGet();
  }

  /** Loses answers of writes and deletes with a probability from 0 to 1. */
  public void loseWriteAnswers(double probability) {
    lostResponseProbability = probability;
  }

  /** Sets how long a client waits for an answer that was lost. */
  public void lostResponseTimeout(Duration value) {
    lostResponseTimeout = value;
  }

  /** Sets the time after which changes of the instance list become visible. */
  public void instanceLag(Duration value) {
    instanceLag = value;
  }

  /** Whether calls of a client fail. */
  public boolean isUnreachable(String clientId) {
    return outage || partitioned.contains(clientId);
  }

  Duration oneWayLatency() {
    return latency.plus(slowness).dividedBy(2);
  }

  Duration lostResponseTimeout() {
    return lostResponseTimeout;
  }

  Duration instanceLag() {
    return instanceLag;
  }

  boolean drawResponseLoss(double sample) {
    int remaining = responsesToLose.getAndUpdate(count -> Math.max(0, count - 1));
    return remaining > 0 || sample < lostResponseProbability;
  }
}
