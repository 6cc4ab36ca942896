package org.basilport.policy.routing;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import org.basilport.policy.WorkItem;

/**
 * Selects the replica with the fewest outstanding generations of this instance. It ignores whether
 * the replica admits the generation.
 */
public final class LeastOutstandingSelector implements ReplicaSelector {
  private final SplittableRandom random;

  /** Creates a selector that breaks ties with the random source. */
  public LeastOutstandingSelector(SplittableRandom random) {
    this.random = random;
  }

  @Override
  public int select(WorkItem item, List<? extends ReplicaLoad> replicas, IntPredicate admits) {
    int first = random.nextInt(replicas.size());
    int best = first;
    for (int i = 1; i < replicas.size(); i++) {
      int position = (first + i) % replicas.size();
      if (replicas.get(position).outstanding() < replicas.get(best).outstanding()) {
        best = position;
      }
    }
    return best;
  }
}
