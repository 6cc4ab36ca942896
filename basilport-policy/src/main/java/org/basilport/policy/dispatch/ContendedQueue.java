package org.basilport.policy.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Bounded queue of the waiting requests of one service, ordered by {@link ContentionPolicy}.
 *
 * <p>The load it answers: up to 200 waiting requests of tens of workspaces at three times the
 * capacity. Requests of one workspace and priority form a lane, so that a decision orders lanes
 * instead of requests.
 *
 * <p>A large request that is first in the order and finds capacity nowhere reserves the next
 * capacity of a server for a bounded time. Otherwise, small requests would use it as soon as it
 * becomes free, before enough is free for the large one.
 *
 * <p>Confined to the thread that makes the decisions.
 */
public final class ContendedQueue<T> {
  /** Time for which the first request waits before it reserves capacity. */
  private static final long RESERVE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Longest time for which capacity is reserved. */
  private static final long MAX_RESERVED_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final Comparator<Lane<?>> ORDER =
      Comparator.<Lane<?>>comparingInt(lane -> lane.key.priority)
          .thenComparing(lane -> lane.key.early)
          .thenComparingDouble(lane -> lane.level)
          .thenComparingLong(lane -> lane.entries.first().sequence());

  private final int limit;
  private final int rejectionLimit;
  private final ContentionPolicy policy;
  private final Map<T, Entry<T>> entries = new IdentityHashMap<>();
  private final Map<LaneKey, Lane<T>> lanes = new HashMap<>();
  private final Map<Object, Integer> groupSizes = new HashMap<>();
  private Optional<Reservation<T>> reservation = Optional.empty();
  private long nextSequence;

  /**
   * Creates an empty queue.
   *
   * @param limit largest number of requests
   * @param rejectionLimit number of rejections in a group after which a dispatch skips the rest
   */
  public ContendedQueue(int limit, int rejectionLimit, ContentionPolicy policy) {
    this.limit = limit;
    this.rejectionLimit = rejectionLimit;
    this.policy = policy;
  }

  /**
   * Adds a request.
   *
   * @param group group of the request; requests of one group can go to the same servers
   * @param maxWaitNanos time for which the request can wait
   * @return the last request in the order, which leaves the queue because the limit is exceeded; it
   *     may be the added one
   */
  public Optional<T> add(
      T request,
      ContendingRequest demand,
      Object group,
      ReturnOrder.Arrival arrival,
      long maxWaitNanos,
      long nowNanos) {
    boolean early = arrival == ReturnOrder.Arrival.EARLY;
    LaneKey key = new LaneKey(demand.priority(), early, demand.workspace());
    Entry<T> entry =
        new Entry<>(
            request,
            demand,
            group,
            key,
            arrival == ReturnOrder.Arrival.RETURNED,
            policy.subjectTokens(demand, nowNanos),
            nextSequence++,
            nowNanos,
            maxWaitNanos);
    Lane<T> lane = lanes.get(key);
    if (lane == null) {
      lane = new Lane<>(key, nowNanos + policy.holdNanos(demand, early, maxWaitNanos, nowNanos));
      lane.level = policy.level(key.workspace);
      lanes.put(key, lane);
    }
    lane.entries.add(entry);
    entries.put(request, entry);
    groupSizes.merge(group, 1, Integer::sum);
    if (entries.size() <= limit) {
      return Optional.empty();
    }
    Optional<T> last = last();
    last.ifPresent(this::removeEntry);
    return last;
  }

  /** Removes a request; returns false when it is no longer in the queue. */
  public boolean remove(T request, Placement<T> placement) {
    endReservation(request, placement);
    return removeEntry(request);
  }

  private boolean removeEntry(T request) {
    Entry<T> entry = entries.remove(request);
    if (entry == null) {
      return false;
    }
    groupSizes.merge(entry.group, -1, (size, change) -> size + change == 0 ? null : size + change);
    Lane<T> lane = lanes.get(entry.lane);
    lane.entries.remove(entry);
    if (lane.entries.isEmpty()) {
      lanes.remove(entry.lane);
    }
    return true;
  }

  /**
   * Offers the requests in order and removes those that are placed. Skips the requests of a group
   * after some rejections in it, and the less urgent requests of a group while a more urgent one is
   * held.
   */
  public void dispatch(Placement<T> placement, long nowNanos) {
    reservation
        .filter(current -> nowNanos - current.untilNanos >= 0)
        .ifPresent(current -> endReservation(current.entry.request, placement));
    PriorityQueue<Lane<T>> order = order();
    Offers offers = new Offers();
    for (Lane<T> lane = order.poll(); lane != null; lane = order.poll()) {
      if (offers.exhausted == groupSizes.size()) {
        return;
      }
      if (offer(lane, offers, placement, nowNanos)) {
        reinsert(lane, order);
      }
    }
  }

  /** Offers the requests of a lane until one is placed; false if none is. */
  private boolean offer(Lane<T> lane, Offers offers, Placement<T> placement, long nowNanos) {
    boolean held = lane.notBeforeNanos - nowNanos > 0;
    for (Entry<T> entry : lane.entries) {
      int rejected = offers.rejections.getOrDefault(entry.group, 0);
      if (rejected >= rejectionLimit
          || offers.heldPriorities.getOrDefault(entry.group, Integer.MAX_VALUE)
              < lane.key.priority) {
        continue;
      }
      if (held) {
        offers.heldPriorities.putIfAbsent(entry.group, lane.key.priority);
        continue;
      }
      if (placement.place(entry.request)) {
        endReservation(entry.request, placement);
        removeEntry(entry.request);
        return true;
      }
      offers.rejections.put(entry.group, rejected + 1);
      offers.exhausted += rejected + 1 == rejectionLimit ? 1 : 0;
      lane.notBeforeNanos =
          nowNanos + policy.holdNanos(entry.demand, lane.key.early, entry.maxWaitNanos, nowNanos);
      if (rejected == 0) {
        reserve(entry, placement, nowNanos);
      }
    }
    return false;
  }

  private void reinsert(Lane<T> lane, PriorityQueue<Lane<T>> order) {
    if (!lane.entries.isEmpty()) {
      lane.level = policy.level(lane.key.workspace);
      order.add(lane);
    }
  }

  private PriorityQueue<Lane<T>> order() {
    for (Lane<T> lane : lanes.values()) {
      lane.level = policy.level(lane.key.workspace);
    }
    PriorityQueue<Lane<T>> order = new PriorityQueue<>(Math.max(1, lanes.size()), ORDER);
    order.addAll(lanes.values());
    return order;
  }

  private void reserve(Entry<T> entry, Placement<T> placement, long nowNanos) {
    if (reservation.isPresent()
        || entry.reserved
        || nowNanos - entry.arrivalNanos < RESERVE_AFTER_NANOS
        || !isLarge(entry)
        || !placement.reserve(entry.request)) {
      return;
    }
    entry.reserved = true;
    reservation = Optional.of(new Reservation<>(entry, nowNanos + MAX_RESERVED_NANOS));
  }

  /** Whether a request is larger than the mean of the waiting ones. */
  private boolean isLarge(Entry<T> entry) {
    long sum = 0;
    for (Entry<T> other : entries.values()) {
      sum += other.demand.tokens();
    }
    return entry.demand.tokens() * entries.size() > sum;
  }

  private void endReservation(T request, Placement<T> placement) {
    reservation
        .filter(current -> current.entry.request == request)
        .ifPresent(
            current -> {
              reservation = Optional.empty();
              placement.release(request);
            });
  }

  /** Whether a request waits. */
  public boolean contains(T request) {
    return entries.containsKey(request);
  }

  /** Number of requests that precede a waiting request in the order of the latest dispatch. */
  public int ahead(T request) {
    Entry<T> entry = entries.get(request);
    Lane<T> own = lanes.get(entry.lane);
    int ahead = own.entries.headSet(entry).size();
    for (Lane<T> lane : lanes.values()) {
      if (lane != own && ORDER.compare(lane, own) < 0) {
        ahead += lane.entries.size();
      }
    }
    return ahead;
  }

  /** The last request in the order of the latest dispatch. */
  public Optional<T> last() {
    return lanes.values().stream().max(ORDER).map(lane -> lane.entries.last().request);
  }

  /** Time until a held request may be offered, in nanoseconds; empty if none is held. */
  public OptionalLong nanosToNextOffer(long nowNanos) {
    return lanes.values().stream()
        .mapToLong(lane -> lane.notBeforeNanos - nowNanos)
        .filter(nanos -> nanos > 0)
        .min();
  }

  /** The waiting requests, in no particular order. */
  public List<T> requests() {
    return List.copyOf(entries.keySet());
  }

  /** Number of waiting requests. */
  public int size() {
    return entries.size();
  }

  /** Places requests at servers. */
  public interface Placement<T> {
    /** Places and charges a request; false if no server has capacity for it. */
    boolean place(T request);

    /** Reserves the next capacity of a server for a request; false if there is no such server. */
    boolean reserve(T request);

    /** Releases what was reserved for a request. */
    void release(T request);
  }

  /** Result of the offers of one dispatch, by group. */
  private static final class Offers {
    private final Map<Object, Integer> rejections = new HashMap<>();
    private final Map<Object, Integer> heldPriorities = new HashMap<>();
    private int exhausted;
  }

  private record LaneKey(int priority, boolean early, long workspace) {}

  private record Reservation<T>(Entry<T> entry, long untilNanos) {}

  /** Requests of one workspace and priority, with the usage at the latest dispatch. */
  private static final class Lane<T> {
    private final LaneKey key;
    private final TreeSet<Entry<T>> entries = new TreeSet<>(ContentionPolicy.WITHIN_WORKSPACE);
    private long notBeforeNanos;
    private double level;

    Lane(LaneKey key, long notBeforeNanos) {
      this.key = key;
      this.notBeforeNanos = notBeforeNanos;
    }
  }

  /** A waiting request. */
  static final class Entry<T> {
    private final T request;
    private final ContendingRequest demand;
    private final Object group;
    private final LaneKey lane;
    private final boolean returned;
    private final double subjectTokens;
    private final long sequence;
    private final long arrivalNanos;
    private final long maxWaitNanos;
    private boolean reserved;

    Entry(
        T request,
        ContendingRequest demand,
        Object group,
        LaneKey lane,
        boolean returned,
        double subjectTokens,
        long sequence,
        long arrivalNanos,
        long maxWaitNanos) {
      this.request = request;
      this.demand = demand;
      this.group = group;
      this.lane = lane;
      this.returned = returned;
      this.subjectTokens = subjectTokens;
      this.sequence = sequence;
      this.arrivalNanos = arrivalNanos;
      this.maxWaitNanos = maxWaitNanos;
    }

    boolean returned() {
      return returned;
    }

    double subjectTokens() {
      return subjectTokens;
    }

    long sequence() {
      return sequence;
    }
  }
}
