package org.basilport.policy.routing;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import org.basilport.policy.WorkItem;

/**
 * Selects the best of two random replicas and the replicas that hold the prompt's prefix, among
 * those that have free memory. Replicas with the prefix and replicas in the same data centre are
 * preferred.
 *
 * <p>Several instances select from the same delayed reports. If each selected the least loaded
 * replica, all of them would fill the same one until the next report.
 */
public final class PrefixAffinitySelector implements ReplicaSelector {
  private static final int CANDIDATES = 2;

  /** Largest number of replicas probed before the generation waits; bounds the selection cost. */
  private static final int MAX_PROBES = 16;

  /** Amount by which the load of a replica with the prefix may be higher. */
  private static final double PREFIX_LOAD_BONUS = 0.15;

  /** Amount by which the load of a replica in another data centre must be lower. */
  private static final double REMOTE_LOAD_PENALTY = 0.05;

  private final PrefixDirectory prefixDirectory;
  private final SplittableRandom random;
  private Map<String, Integer> positions = Map.of();

  /** Creates a selector that uses a directory of cached prefixes. */
  public PrefixAffinitySelector(PrefixDirectory prefixDirectory, SplittableRandom random) {
    this.prefixDirectory = prefixDirectory;
    this.random = random;
  }

  /** Sets the position of each replica in the list of candidates, by server id. */
  public void positions(Map<String, Integer> newPositions) {
    positions = newPositions;
  }

  /** Returns the position of a replica, or null when it is unknown. */
  public Integer position(String serverId) {
    return positions.get(serverId);
  }

  @Override
  public int select(WorkItem item, List<? extends ReplicaLoad> replicas, IntPredicate admits) {
    List<String> holders = prefixDirectory.holders(item.prefixHash());
    int size = replicas.size();
    int first = random.nextInt(size);
    int step = size == 1 ? 1 : 1 + random.nextInt(size - 1);
    // With a step that is coprime with the size, no replica is probed twice.
    while (greatestCommonDivisor(size, step) != 1) {
      step--;
    }
    int best = NONE;
    double bestScore = Double.POSITIVE_INFINITY;
    for (int i = 0; i < holders.size(); i++) {
      Integer holder = positions.get(holders.get(i));
      if (holder != null && admits.test(holder)) {
        double score = score(replicas.get(holder), holders);
        if (score < bestScore) {
          bestScore = score;
          best = holder;
        }
      }
    }
    int found = 0;
    int position = first;
    for (int i = 0; i < Math.min(size, MAX_PROBES) && found < CANDIDATES; i++) {
      if (admits.test(position)) {
        found++;
        double score = score(replicas.get(position), holders);
        if (score < bestScore) {
          bestScore = score;
          best = position;
        }
      }
      position = (position + step) % size;
    }
    return best;
  }

  private static double score(ReplicaLoad replica, List<String> holders) {
    double score = replica.load();
    if (holders.contains(replica.serverId())) {
      score -= PREFIX_LOAD_BONUS;
    }
    return replica.sameDataCentre() ? score : score + REMOTE_LOAD_PENALTY;
  }

  private static int greatestCommonDivisor(int a, int b) {
    return b == 0 ? a : greatestCommonDivisor(b, a % b);
  }
}
