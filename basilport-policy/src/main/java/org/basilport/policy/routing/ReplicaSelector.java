package org.basilport.policy.routing;

import java.util.List;
import org.basilport.policy.WorkItem;

/** Chooses the replica on which a generation starts. */
@FunctionalInterface
public interface ReplicaSelector {

  /**
   * Returns the position of the chosen replica.
   *
   * @param item the generation
   * @param replicas candidates in a stable order, at least one
   */
  int select(WorkItem item, List<? extends ReplicaLoad> replicas);
}
