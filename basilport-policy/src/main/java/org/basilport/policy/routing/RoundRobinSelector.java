package org.basilport.policy.routing;

import java.util.List;
import java.util.function.IntPredicate;
import org.basilport.policy.WorkItem;

/** Selects the replicas in rotation, whether or not they admit the generation. */
public final class RoundRobinSelector implements ReplicaSelector {
  private int next;

  /**
   * Creates a selector.
   *
   * @param first position of the first selection; differs between instances so that they do not all
   *     select the same replica
   */
  public RoundRobinSelector(int first) {
    this.next = first;
  }

  @Override
  public int select(WorkItem item, List<? extends ReplicaLoad> replicas, IntPredicate admits) {
    return Math.floorMod(next++, replicas.size());
  }
}
