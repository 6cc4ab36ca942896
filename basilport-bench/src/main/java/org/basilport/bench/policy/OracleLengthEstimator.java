package org.basilport.bench.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.basilport.policy.WorkItem;
import org.basilport.policy.length.LengthDistribution;
import org.basilport.policy.length.LengthEstimator;

/** Length estimator that knows the exact output length of every generation of a run. */
final class OracleLengthEstimator implements LengthEstimator {
  private final Map<String, Long> lengths = new HashMap<>();

  OracleLengthEstimator(List<Arrival> arrivals) {
    arrivals.forEach(arrival -> lengths.put(arrival.item().requestId(), arrival.length()));
  }

  @Override
  public LengthDistribution distribution(WorkItem item) {
    long length = lengths.get(item.requestId());
    return (generated, further) -> generated + further < length ? 1 : 0;
  }
}
