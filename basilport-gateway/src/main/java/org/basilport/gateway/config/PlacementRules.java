package org.basilport.gateway.config;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * What the settings of a deployment demand of the choice of servers, beyond the configuration.
 *
 * @param coldStartLimits limits on the requests to cold servers; empty if there are none
 * @param evacuationLimit time after the confirmation of an evacuation after which no request may
 *     reach a server of the data centre; empty if data centres are not evacuated
 * @param region region of this instance; empty if it is not known
 * @param regions region of each data centre
 * @param loadSharingPermitted whether load may be shared where the deployment has hard load
 */
public record PlacementRules(
    Optional<ColdStartLimits> coldStartLimits,
    Optional<Duration> evacuationLimit,
    String region,
    Map<String, String> regions,
    boolean loadSharingPermitted) {

  /** Rules of a deployment that demands nothing. */
  public static final PlacementRules NONE =
      new PlacementRules(Optional.empty(), Optional.empty(), "", Map.of());

  /** Creates rules that permit shared load. */
  public PlacementRules(
      Optional<ColdStartLimits> coldStartLimits,
      Optional<Duration> evacuationLimit,
      String region,
      Map<String, String> regions) {
    this(coldStartLimits, evacuationLimit, region, regions, true);
  }

  /** Copies the regions. */
  public PlacementRules {
    regions = Map.copyOf(regions);
  }

  /**
   * Whether the deployment has hard load, for which queues are shared by usage and load is spread
   * by figures of known age.
   */
  public boolean sharesLoad() {
    return loadSharingPermitted && (coldStartLimits.isPresent() || evacuationLimit.isPresent());
  }

  /** Returns the same rules without shared load. */
  public PlacementRules withoutLoadSharing() {
    return new PlacementRules(coldStartLimits, evacuationLimit, region, regions, false);
  }
}
