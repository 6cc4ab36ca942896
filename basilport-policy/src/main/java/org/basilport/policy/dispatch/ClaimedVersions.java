package org.basilport.policy.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Software versions that the instances of a fleet claim to have served recently.
 *
 * <p>A running instance withdraws the claim of a version that has left once its streams are not
 * taken up any more. One that was lost for good never does, so a claim counts for that time only
 * after it was first seen; versions that serve longer are listed.
 */
public final class ClaimedVersions {
  private Map<Claim, Long> firstSeenNanos = Map.of();

  /**
   * Replaces the claims.
   *
   * @param versions claimed versions by instance and service
   */
  public void replace(Map<String, Map<String, Set<String>>> versions, long nowNanos) {
    Map<Claim, Long> seen = new HashMap<>();
    versions.forEach(
        (instance, claimed) ->
            claimed.forEach(
                (service, names) ->
                    names.forEach(
                        version -> {
                          Claim claim = new Claim(instance, service, version);
                          seen.put(claim, firstSeenNanos.getOrDefault(claim, nowNanos));
                        })));
    firstSeenNanos = seen;
  }

  /**
   * Versions of a service that have served within the retention time according to a claim.
   *
   * @param retentionNanos time in which a stream may be taken up after it began
   */
  public Set<String> recent(String service, long nowNanos, long retentionNanos) {
    Set<String> versions = new TreeSet<>();
    firstSeenNanos.forEach(
        (claim, seenNanos) -> {
          if (claim.service.equals(service) && nowNanos - seenNanos <= retentionNanos) {
            versions.add(claim.version);
          }
        });
    return versions;
  }

  private record Claim(String instance, String service, String version) {}
}
