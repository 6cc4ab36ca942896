package org.basilport.policy.placement;

import java.time.Duration;

/**
 * Bounds of placement.
 *
 * @param modelsPerEngine largest number of models on one engine
 * @param changesPerMinute largest number of loads and unloads that are decided in a minute; no more
 *     than the weight store allows
 * @param warmUp time to load a model, during which it serves nothing
 * @param idleRate arrivals per second below which a model counts as not in demand
 */
public record PlacementSettings(
    int modelsPerEngine, double changesPerMinute, Duration warmUp, double idleRate) {
  private static final int SCALE_DOWN_FACTOR = 10;

  /** Settings for engines of ordinary size. */
  public static PlacementSettings defaults() {
    return new PlacementSettings(4, 12, Duration.ofSeconds(10), 0.001);
  }

  /** How long demand must exceed the replicas; a shorter peak ends before a load would help. */
  Duration scaleUpDelay() {
    return warmUp;
  }

  /** How long demand must stay low; an unload that is undone at once costs a warm-up. */
  Duration scaleDownDelay() {
    return warmUp.multipliedBy(SCALE_DOWN_FACTOR);
  }
}
