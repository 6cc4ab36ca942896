package org.basilport.gateway.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import java.util.SplittableRandom;
import org.basilport.policy.dispatch.FleetUsage;

/**
 * State that the contended queues of all services of an instance share. Confined to the event loop
 * thread, except the metrics.
 */
public final class Contention {
  private final FleetUsage usage = new FleetUsage(System.nanoTime());
  private final SplittableRandom random;
  private final Counter refusedAtOnce = new Counter();
  private final Counter returnedInTime = new Counter();
  private final Histogram retryAfterMillis = new Histogram(new ExponentiallyDecayingReservoir());

  /** Creates a state without usage. */
  public Contention(SplittableRandom random) {
    this.random = random;
  }

  /** Usage of the workspaces at all instances. */
  public FleetUsage usage() {
    return usage;
  }

  SplittableRandom random() {
    return random;
  }

  /** Number of requests that were refused at once because no capacity becomes free in time. */
  public Counter refusedAtOnce() {
    return refusedAtOnce;
  }

  /** Number of requests that returned at the time that their callers were told. */
  public Counter returnedInTime() {
    return returnedInTime;
  }

  /** Delays after which refused callers return, in milliseconds. */
  public Histogram retryAfterMillis() {
    return retryAfterMillis;
  }
}
