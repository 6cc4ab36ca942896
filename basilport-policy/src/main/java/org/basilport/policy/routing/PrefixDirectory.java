package org.basilport.policy.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which replicas probably hold a prompt prefix in their cache.
 *
 * <p>It learns from this instance's own placements and from cache events. Events are delayed and
 * may be lost, so an entry is only a hint; a wrong one costs the time to compute the prefix again.
 */
public final class PrefixDirectory {
  private static final float LOAD_FACTOR = 0.75f;

  /** Largest number of replicas per prefix; more would copy a prefix into all caches. */
  private static final int MAX_HOLDERS_PER_PREFIX = 4;

  private final Map<Long, List<String>> holders;

  /**
   * Creates a directory for a limited number of prefixes; the least recently used is evicted first.
   */
  public PrefixDirectory(int prefixLimit) {
    this.holders =
        new LinkedHashMap<>(prefixLimit, LOAD_FACTOR, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, List<String>> eldest) {
            return size() > prefixLimit;
          }
        };
  }

  /** Records that a replica holds a prefix. */
  public void add(long prefixHash, String serverId) {
    List<String> servers =
        holders.computeIfAbsent(prefixHash, hash -> new ArrayList<>(MAX_HOLDERS_PER_PREFIX));
    if (servers.contains(serverId)) {
      return;
    }
    if (servers.size() == MAX_HOLDERS_PER_PREFIX) {
      servers.remove(0);
    }
    servers.add(serverId);
  }

  /** Records that a replica evicted a prefix. */
  public void remove(long prefixHash, String serverId) {
    List<String> servers = holders.get(prefixHash);
    if (servers != null) {
      servers.remove(serverId);
    }
  }

  /** Removes a replica from all entries. */
  public void removeReplica(String serverId) {
    holders.values().forEach(servers -> servers.remove(serverId));
  }

  /** Returns the replicas that probably hold a prefix, in the order in which they were added. */
  public List<String> holders(long prefixHash) {
    return holders.getOrDefault(prefixHash, List.of());
  }
}
