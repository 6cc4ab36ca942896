package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Regions in which a request may run.
 *
 * <p>The load it answers: requests of routes and workspaces whose data must stay in their home
 * regions, also while those regions have no server. A region that is not known is no home region,
 * so that a data centre without a region never receives such a request.
 *
 * @param regions the permitted regions; empty if all are permitted, also unknown ones
 */
public record AllowedRegions(Optional<Set<String>> regions) {
  /** All regions. */
  public static final AllowedRegions ALL = new AllowedRegions(Optional.empty());

  /** Copies the regions. */
  public AllowedRegions {
    regions = regions.map(Set::copyOf);
  }

  /** The regions of a configuration, in which an empty list does not restrict anything. */
  public static AllowedRegions of(Collection<String> configured) {
    return configured.isEmpty()
        ? ALL
        : new AllowedRegions(
            Optional.of(
                configured.stream()
                    .filter(region -> !region.isEmpty())
                    .collect(Collectors.toSet())));
  }

  /** The regions that both permit; none if they have no region in common. */
  public AllowedRegions and(AllowedRegions other) {
    if (!restricted()) {
      return other;
    }
    if (!other.restricted()) {
      return this;
    }
    Set<String> both = new TreeSet<>(regions.get());
    both.retainAll(other.regions.get());
    return new AllowedRegions(Optional.of(both));
  }

  /** Whether any region is excluded. */
  public boolean restricted() {
    return regions.isPresent();
  }

  /**
   * Whether a request may run in a region.
   *
   * @param region name of the region; empty if it is not known
   */
  public boolean permits(String region) {
    return regions.isEmpty() || regions.get().contains(region);
  }
}
