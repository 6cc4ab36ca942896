package org.basilport.policy.length;

import java.util.LinkedHashMap;
import java.util.Map;
import org.basilport.policy.WorkItem;

/**
 * Estimates lengths by route, with a fallback to the workspace and then to the model.
 *
 * <p>The number of histograms is bounded; the least recently used one is evicted first.
 */
public final class HierarchicalLengthEstimator implements LengthEstimator {
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<Key, HazardHistogram> histograms;

  /**
   * Creates an estimator.
   *
   * @param histogramLimit maximum number of histograms, each about 1.5 KB
   */
  public HierarchicalLengthEstimator(int histogramLimit) {
    this.histograms = new LruMap(histogramLimit);
  }

  @Override
  public LengthDistribution distribution(WorkItem item) {
    return routeHistogram(item);
  }

  private HazardHistogram modelHistogram(WorkItem item) {
    return histogram(new Key(item.model(), "", ""), null);
  }

  private HazardHistogram workspaceHistogram(WorkItem item) {
    return histogram(new Key(item.model(), item.workspace(), ""), item);
  }

  private HazardHistogram routeHistogram(WorkItem item) {
    Key key = new Key(item.model(), item.workspace(), item.route());
    HazardHistogram known = histograms.get(key);
    if (known == null) {
      known = new HazardHistogram(workspaceHistogram(item));
      histograms.put(key, known);
    }
    return known;
  }

  /**
   * Returns the histogram of a key. A new one has the item's model histogram as parent, or no
   * parent when the item is null.
   */
  private HazardHistogram histogram(Key key, WorkItem item) {
    HazardHistogram known = histograms.get(key);
    if (known == null) {
      known = new HazardHistogram(item == null ? null : modelHistogram(item));
      histograms.put(key, known);
    }
    return known;
  }

  private record Key(String model, String workspace, String route) {}

  private static final class LruMap extends LinkedHashMap<Key, HazardHistogram> {
    private final int limit;

    LruMap(int limit) {
      super(limit, LOAD_FACTOR, true);
      this.limit = limit;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Key, HazardHistogram> eldest) {
      return size() > limit;
    }
  }
}
