package org.basilport.policy.length;

import org.basilport.policy.WorkItem;

/** Estimates output lengths from finished and running generations. */
public interface LengthEstimator {

  /** Returns the distribution for a generation; it follows later observations. */
  LengthDistribution distribution(WorkItem item);

  /**
   * Tells that a running generation grew.
   *
   * @param before tokens at the previous observation
   * @param now tokens produced so far
   */
  void grown(WorkItem item, long before, long now);

  /** Tells that a generation reached its natural end at the given length. */
  void ended(WorkItem item, long length);
}
