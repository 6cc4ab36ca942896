package org.basilport.policy.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Software versions that have served in one service within the time in which callers take up
 * streams.
 *
 * <p>A stream may be continued only by a server of the version that began it. While a single
 * version has served, each stream is of that version, and nothing needs to be recorded for it. An
 * instance that starts does not know the versions of before; others tell it.
 */
public final class ServedVersions {
  private final long startNanos;
  private final Map<String, Long> lastServedNanos = new HashMap<>();
  private Set<String> listed = Set.of();
  private boolean pastKnown;

  /**
   * Creates an empty record.
   *
   * @param pastKnown whether no other version served before {@code nowNanos}
   */
  public ServedVersions(boolean pastKnown, long nowNanos) {
    this.pastKnown = pastKnown;
    this.startNanos = nowNanos;
  }

  /** Replaces the versions of the listed servers. */
  public void list(Set<String> versions, long nowNanos) {
    listed.forEach(version -> lastServedNanos.put(version, nowNanos));
    listed = Set.copyOf(versions);
    listed.forEach(version -> lastServedNanos.put(version, nowNanos));
  }

  /** Adds the versions that another instance knows to have served until now. */
  public void add(Set<String> versions, long nowNanos) {
    versions.forEach(version -> lastServedNanos.put(version, nowNanos));
  }

  /** Records that all versions that served before are known now. */
  public void completePast() {
    pastKnown = true;
  }

  /**
   * All versions that have served within the retention time, in alphabetical order.
   *
   * @param retentionNanos time in which a stream may be taken up after it began
   */
  public Set<String> recent(long nowNanos, long retentionNanos) {
    lastServedNanos
        .entrySet()
        .removeIf(
            version ->
                !listed.contains(version.getKey())
                    && nowNanos - version.getValue() > retentionNanos);
    return new TreeSet<>(lastServedNanos.keySet());
  }

  /**
   * The version that alone has served within the retention time; empty if there were several, or if
   * the past is unknown.
   */
  public Optional<String> only(long nowNanos, long retentionNanos) {
    return only(Set.of(), nowNanos, retentionNanos);
  }

  /**
   * The version that alone has served within the retention time.
   *
   * @param claimed versions that others claim to have served within that time
   */
  public Optional<String> only(Set<String> claimed, long nowNanos, long retentionNanos) {
    Set<String> versions = recent(nowNanos, retentionNanos);
    versions.addAll(claimed);
    boolean known = pastKnown || nowNanos - startNanos >= retentionNanos;
    return known && versions.size() == 1 ? versions.stream().findFirst() : Optional.empty();
  }
}
