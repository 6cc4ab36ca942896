package org.basilport.policy.routing;

import java.util.List;
import java.util.function.IntPredicate;
import org.basilport.policy.WorkItem;

/** Takes the replicas in turn. */
public final class RoundRobinSelector implements ReplicaSelector {
  private int next;

  /**
   * Creates a selector.
   *
   * @param first position of the first choice, so that instances do not move in step
   */
  public RoundRobinSelector(int first) {
    this.next = first;
  }

  @Override
  public int select(WorkItem item, List<? extends ReplicaLoad> replicas, IntPredicate admits) {
    return Math.floorMod(next++, replicas.size());
  }
}
