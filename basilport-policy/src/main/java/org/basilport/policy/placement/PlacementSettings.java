package org.basilport.policy.placement;

import java.time.Duration;

/**
 * Settings of placement.
 *
 * @param modelsPerEngine maximum number of models on one engine
 * @param changesPerMinute maximum number of loads and unloads per minute; must not exceed what the
 *     weight store allows
 * @param warmUp time to load a model, during which it serves no requests
 * @param idleRate arrivals per second below which a model counts as idle
 */
public record PlacementSettings(
    int modelsPerEngine, double changesPerMinute, Duration warmUp, double idleRate) {
  /** Length of the scale-down delay, in warm-ups. */
  private static final int SCALE_DOWN_DELAY_WARM_UPS = 10;

  /** Settings for engines of ordinary size. */
  public static PlacementSettings defaults() {
    return new PlacementSettings(4, 12, Duration.ofSeconds(10), 0.001);
  }

  /**
   * Time for which demand must exceed the replicas before a scale-up; a shorter peak ends before
   * the model is loaded.
   */
  Duration scaleUpDelay() {
    return warmUp;
  }

  /**
   * Time for which demand must stay low before a scale-down; reversing an unload costs a warm-up.
   */
  Duration scaleDownDelay() {
    return warmUp.multipliedBy(SCALE_DOWN_DELAY_WARM_UPS);
  }
}
