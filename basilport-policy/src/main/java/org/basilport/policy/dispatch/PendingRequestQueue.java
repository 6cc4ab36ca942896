package org.basilport.policy.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Bounded queue of requests that wait at the instance for capacity of a backend server, ordered by
 * priority and then by arrival.
 *
 * <p>Under overload, a request in this queue can still be sent to any server, and one that exceeds
 * its time limit is rejected without having been sent.
 */
public final class PendingRequestQueue<T> {
  /**
   * Largest number of waiting requests of a service at one instance; several seconds of arrivals.
   */
  public static final int LENGTH_LIMIT = 200;

  /** Number of requests of a group without capacity after which the rest of it is not tried. */
  public static final int REJECTION_LIMIT = 4;

  /** Longest wait of a request, as a fraction of its target latency; it is rejected afterwards. */
  public static final double MAX_WAIT_RATIO = 0.8;

  /** Interval at which waiting requests are tried without news of the servers, in milliseconds. */
  public static final long PLACEMENT_INTERVAL_MILLIS = 200;

  private static final Comparator<Entry<?>> ORDER =
      Comparator.<Entry<?>>comparingInt(Entry::priority).thenComparingLong(Entry::sequence);

  private final int limit;
  private final TreeSet<Entry<T>> entries = new TreeSet<>(ORDER);
  private long nextSequence;

  /** Creates an empty queue for at most {@code limit} requests. */
  public PendingRequestQueue(int limit) {
    this.limit = limit;
  }

  /**
   * Adds a request; returns empty when the queue is full and no request in it has a lower priority.
   * May exceed the limit by one, see {@link #evictExcess}.
   */
  public Optional<Entry<T>> add(T request, int priority) {
    if (entries.size() >= limit && entries.last().priority() <= priority) {
      return Optional.empty();
    }
    Entry<T> entry = new Entry<>(request, priority, nextSequence++);
    entries.add(entry);
    return Optional.of(entry);
  }

  /** Removes and returns the last request when the queue exceeds its limit. */
  public Optional<T> evictExcess() {
    if (entries.size() <= limit) {
      return Optional.empty();
    }
    return Optional.of(entries.pollLast().request());
  }

  /** Removes an entry; returns false when it is no longer in the queue. */
  public boolean remove(Entry<T> entry) {
    return entries.remove(entry);
  }

  /**
   * Passes the requests in order to a predicate and removes those that it accepts. Skips the
   * requests of a group after {@code rejectionLimit} rejections in it, which bounds the cost with a
   * long queue.
   *
   * @param groupOf group of a request; requests of one group can go to the same servers
   */
  public <G> void dispatch(Predicate<T> accept, Function<T, G> groupOf, int rejectionLimit) {
    Map<G, Integer> rejections = new HashMap<>();
    Iterator<Entry<T>> iterator = entries.iterator();
    while (iterator.hasNext()) {
      T request = iterator.next().request();
      G group = groupOf.apply(request);
      if (rejections.getOrDefault(group, 0) >= rejectionLimit) {
        continue;
      }
      if (accept.test(request)) {
        iterator.remove();
      } else {
        rejections.merge(group, 1, Integer::sum);
      }
    }
  }

  /** The queued requests, in order. */
  public List<T> requests() {
    return entries.stream().map(Entry::request).toList();
  }

  /** Number of queued requests. */
  public int size() {
    return entries.size();
  }

  /**
   * A queued request.
   *
   * @param request the request
   * @param priority priority; 0 is the highest
   * @param sequence order of arrival
   */
  public record Entry<T>(T request, int priority, long sequence) {}
}
