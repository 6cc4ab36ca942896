package org.basilport.policy.routing;

import java.util.List;
import java.util.function.IntPredicate;
import org.basilport.policy.WorkItem;

/** Selects the replica on which a generation starts. */
@FunctionalInterface
public interface ReplicaSelector {
  /** Result when no replica admits the generation. */
  int NONE = -1;

  /**
   * Returns the position of the selected replica, or {@link #NONE}.
   *
   * @param item the generation
   * @param replicas candidates in a stable order, at least one
   * @param admits returns whether the replica at a position has memory for the generation
   */
  int select(WorkItem item, List<? extends ReplicaLoad> replicas, IntPredicate admits);
}
