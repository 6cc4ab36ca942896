package org.basilport.policy.length;

import org.basilport.policy.WorkItem;

/** Estimates output lengths from finished and running generations. */
@FunctionalInterface
public interface LengthEstimator {

  /**
   * Returns the distribution for a generation; it reflects later observations and accepts new ones.
   */
  LengthDistribution distribution(WorkItem item);
}
