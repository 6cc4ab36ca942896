package org.basilport.policy.routing;

import java.util.List;
import java.util.function.IntPredicate;
import org.basilport.policy.WorkItem;

/** Chooses the replica on which a generation starts. */
@FunctionalInterface
public interface ReplicaSelector {
  /** Answer when no replica takes the generation. */
  int NONE = -1;

  /**
   * Returns the position of the chosen replica, or {@link #NONE}.
   *
   * @param item the generation
   * @param replicas candidates in a stable order, at least one
   * @param admits tells by position whether a replica has room
   */
  int select(WorkItem item, List<? extends ReplicaLoad> replicas, IntPredicate admits);
}
