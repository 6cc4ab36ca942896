package org.basilport.policy.dispatch;

import java.util.IdentityHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/**
 * Decides which requests of one service wait, which are refused at once, and when refused callers
 * return, while there is less capacity than requests.
 *
 * <p>The load it answers: three times the requests that the servers can run, at 60 instances that
 * each see a few waiting requests at a time. A request waits until its time limit at most and is
 * refused at once if it is clear that no capacity becomes free in time.
 *
 * <p>Confined to the thread that makes the decisions.
 */
public final class ContendedDispatch<T> {
  private final ContendedQueue<T> queue;
  private final ContentionPolicy policy;
  private final ReturnOrder returns;
  private final Map<T, Known> known = new IdentityHashMap<>();

  /**
   * Creates a dispatch without requests.
   *
   * @param queueLimit largest number of waiting requests
   * @param rejectionLimit number of rejections in a group after which the rest of it is not offered
   */
  public ContendedDispatch(
      int queueLimit,
      int rejectionLimit,
      FleetUsage usage,
      SplittableRandom random,
      long nowNanos) {
    this.policy = new ContentionPolicy(usage, nowNanos);
    this.queue = new ContendedQueue<>(queueLimit, rejectionLimit, policy);
    this.returns = new ReturnOrder(random);
  }

  /**
   * Places a request, lets it wait or refuses it.
   *
   * @param group group of the request; requests of one group can go to the same servers
   * @param maxWaitNanos time for which the request can wait
   * @return relation of the request to the promises of capacity
   */
  public ReturnOrder.Arrival submit(
      T request,
      ContendingRequest demand,
      Object group,
      long maxWaitNanos,
      Servers<T> servers,
      long nowNanos) {
    Known state = known.get(request);
    if (state == null) {
      state = new Known(demand, returns.arrive(demand, nowNanos));
      known.put(request, state);
      policy.recordArrival(demand, state.arrival, nowNanos);
    }
    state.deadlineNanos = nowNanos + maxWaitNanos;
    queue
        .add(request, demand, group, state.arrival, maxWaitNanos, nowNanos)
        .ifPresent(servers::refuse);
    dispatch(servers, nowNanos);
    refuseIfHopeless(request, servers, nowNanos);
    queue.last().ifPresent(last -> refuseIfHopeless(last, servers, nowNanos));
    returns.setWaiting(queue.size() > 0, nowNanos);
    return state.arrival;
  }

  private void refuseIfHopeless(T request, Servers<T> servers, long nowNanos) {
    Known state = known.get(request);
    OptionalDouble rate = returns.rate(nowNanos);
    if (state == null || !queue.contains(request) || rate.isEmpty()) {
      return;
    }
    long maxWaitNanos = state.deadlineNanos - nowNanos;
    if (ContentionPolicy.isHopeless(queue.ahead(request), rate, maxWaitNanos)) {
      queue.remove(request, servers);
      servers.refuse(request);
    }
  }

  /** Offers the waiting requests to the servers. */
  public void dispatch(Servers<T> servers, long nowNanos) {
    queue.dispatch(
        new ContendedQueue.Placement<>() {
          @Override
          public boolean place(T request) {
            boolean placed = servers.place(request);
            if (placed) {
              recordPlaced(known.get(request), nowNanos);
            }
            return placed;
          }

          @Override
          public boolean reserve(T request) {
            return servers.reserve(request);
          }

          @Override
          public void release(T request) {
            servers.release(request);
          }
        },
        nowNanos);
    returns.setWaiting(queue.size() > 0, nowNanos);
  }

  /** Charges a request, once also if it is placed again because a server refused it. */
  private void recordPlaced(Known state, long nowNanos) {
    returns.recordPlaced(nowNanos);
    if (!state.charged) {
      state.charged = true;
      policy.recordPlaced(state.demand, nowNanos);
    }
  }

  /** Whether a request was submitted and has not ended. */
  public boolean knows(T request) {
    return known.containsKey(request);
  }

  /** Removes a waiting request. */
  public void remove(T request, Servers<T> servers, long nowNanos) {
    queue.remove(request, servers);
    returns.setWaiting(queue.size() > 0, nowNanos);
  }

  /**
   * Returns the delay after which the caller of a refused request returns, in nanoseconds, and
   * promises capacity to it. A request that was not submitted did not compete: its refusal does not
   * show that there is too little capacity, and nothing is promised.
   */
  public long refuse(T request, long minDelayNanos, long nowNanos) {
    Known state = known.get(request);
    if (state == null) {
      return minDelayNanos;
    }
    policy.recordRefusal(nowNanos);
    return returns.refuse(state.demand, state.arrival, queue.size(), minDelayNanos, nowNanos);
  }

  /**
   * Forgets a request that has ended.
   *
   * @param tokens tokens that it used; empty if they are not known
   */
  public void end(T request, OptionalLong tokens, long nowNanos) {
    Known state = known.remove(request);
    if (state != null && state.charged && tokens.isPresent()) {
      policy.recordEnded(state.demand, tokens.getAsLong(), nowNanos);
    }
  }

  /** The queue of waiting requests. */
  public ContendedQueue<T> queue() {
    return queue;
  }

  /** Servers and callers of the requests. */
  public interface Servers<T> extends ContendedQueue.Placement<T> {
    /** Refuses a request that has left the queue. */
    void refuse(T request);
  }

  private static final class Known {
    private final ContendingRequest demand;
    private final ReturnOrder.Arrival arrival;
    private long deadlineNanos;
    private boolean charged;

    Known(ContendingRequest demand, ReturnOrder.Arrival arrival) {
      this.demand = demand;
      this.arrival = arrival;
    }
  }
}
