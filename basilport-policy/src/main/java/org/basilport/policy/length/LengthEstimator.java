package org.basilport.policy.length;

import org.basilport.policy.WorkItem;

/** Estimates output lengths from finished and running generations. */
@FunctionalInterface
public interface LengthEstimator {

  /** Returns the distribution for a generation; it follows later observations and takes them. */
  LengthDistribution distribution(WorkItem item);
}
