package org.basilport.policy.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Exponentially decaying arrival rates by model. Not safe for use by several threads. */
public final class DemandTracker {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double timeConstantSeconds;
  private final Map<String, Rate> rates = new HashMap<>();

  /** Creates a tracker that forgets arrivals with a time constant. */
  public DemandTracker(Duration timeConstant) {
    this.timeConstantSeconds = timeConstant.toNanos() / NANOS_PER_SECOND;
  }

  /** Counts an arrival. */
  public void recordArrival(String model, long nowNanos) {
    Rate rate = rates.computeIfAbsent(ModelName.parse(model).name(), m -> new Rate(nowNanos));
    rate.decay(nowNanos);
    rate.perSecond += 1 / timeConstantSeconds;
  }

  /** Returns arrivals per second by model name without version. */
  public Map<String, Double> rates(long nowNanos) {
    Map<String, Double> snapshot = new HashMap<>();
    rates.forEach(
        (model, rate) -> {
          rate.decay(nowNanos);
          snapshot.put(model, rate.perSecond);
        });
    return snapshot;
  }

  private final class Rate {
    private double perSecond;
    private long atNanos;

    Rate(long atNanos) {
      this.atNanos = atNanos;
    }

    void decay(long nowNanos) {
      double seconds = Math.max(0, nowNanos - atNanos) / NANOS_PER_SECOND;
      perSecond *= Math.exp(-seconds / timeConstantSeconds);
      atNanos = nowNanos;
    }
  }
}
