package org.basilport.policy.dispatch;

import java.util.Comparator;
import java.util.Iterator;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests that wait at the instance for room at a backend server.
 *
 * <p>The order is by priority, then by arrival. Answers a crowded day: a request that waits here
 * can still go to any server, and one whose time has passed is refused without having been sent.
 */
public final class PendingRequestQueue<T> {
  private static final Comparator<Entry<?>> ORDER =
      Comparator.<Entry<?>>comparingInt(Entry::priority).thenComparingLong(Entry::sequence);

  private final int limit;
  private final TreeSet<Entry<T>> entries = new TreeSet<>(ORDER);
  private long nextSequence;

  /** Creates an empty line for at most {@code limit} requests. */
  public PendingRequestQueue(int limit) {
    this.limit = limit;
  }

  /** Adds a request; empty when the line is full of requests that go before it. */
  public Optional<Entry<T>> add(T request, int priority) {
    if (entries.size() >= limit && entries.last().priority() <= priority) {
      return Optional.empty();
    }
    Entry<T> entry = new Entry<>(request, priority, nextSequence++);
    entries.add(entry);
    return Optional.of(entry);
  }

  /** Returns the last request when the line holds more than its limit, and removes it. */
  public Optional<T> evictExcess() {
    if (entries.size() <= limit) {
      return Optional.empty();
    }
    return Optional.of(entries.pollLast().request());
  }

  /** Removes an entry; false when it was removed before. */
  public boolean remove(Entry<T> entry) {
    return entries.remove(entry);
  }

  /**
   * Offers the requests in order and removes those that are accepted. Stops after some refusals,
   * because the cost of a decision grows with the line.
   */
  public void dispatch(Predicate<T> accept, int refusalLimit) {
    int refusals = 0;
    Iterator<Entry<T>> iterator = entries.iterator();
    while (iterator.hasNext() && refusals < refusalLimit) {
      if (accept.test(iterator.next().request())) {
        iterator.remove();
      } else {
        refusals++;
      }
    }
  }

  /** Number of waiting requests. */
  public int size() {
    return entries.size();
  }

  /**
   * A place in the line.
   *
   * @param request what waits
   * @param priority rank, 0 is the highest
   * @param sequence order of arrival
   */
  public record Entry<T>(T request, int priority, long sequence) {}
}
