package org.basilport.bench.contention;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.ContendedDispatch;
import org.basilport.policy.dispatch.ContendingRequest;
import org.basilport.policy.dispatch.FleetUsage;
import org.basilport.policy.dispatch.PendingRequestQueue;

/**
 * Measures the processor time of a decision with as many waiting requests as an instance queues.
 */
final class ContentionCost {
  static final int WAITING = PendingRequestQueue.LENGTH_LIMIT;
  private static final int WORKSPACES = 100;
  private static final int WARM_UP_DECISIONS = 20_000;
  private static final int DECISIONS = 20_000;

  private ContentionCost() {}

  /** Mean time to place one request and to let another one wait, in microseconds. */
  static double micros(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    OneSlot servers = new OneSlot();
    ContendedDispatch<Integer> dispatch =
        new ContendedDispatch<>(
            2 * WAITING, PendingRequestQueue.REJECTION_LIMIT, new FleetUsage(0), random, 0);
    int next = 0;
    while (next < WAITING) {
      submit(dispatch, next++, servers, random, 0);
    }
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long start = 0;
    for (int i = 0; i < WARM_UP_DECISIONS + DECISIONS; i++) {
      if (i == WARM_UP_DECISIONS) {
        start = threads.getCurrentThreadCpuTime();
      }
      long now = TimeUnit.MILLISECONDS.toNanos(i);
      servers.free = true;
      dispatch.dispatch(servers, now);
      while (dispatch.queue().size() < WAITING) {
        submit(dispatch, next++, servers, random, now);
      }
    }
    return (threads.getCurrentThreadCpuTime() - start) / 1e3 / DECISIONS / 2;
  }

  private static void submit(
      ContendedDispatch<Integer> dispatch,
      Integer id,
      OneSlot servers,
      SplittableRandom random,
      long now) {
    ContendingRequest demand =
        new ContendingRequest(
            random.nextInt(2),
            random.nextInt(WORKSPACES),
            random.nextInt(100),
            1 + random.nextInt(5_000));
    dispatch.submit(id, demand, 0, Long.MAX_VALUE / 4, servers, now);
  }

  /** Server with capacity for one request. */
  private static final class OneSlot implements ContendedDispatch.Servers<Integer> {
    private boolean free;

    @Override
    public boolean place(Integer request) {
      boolean placed = free;
      free = false;
      return placed;
    }

    @Override
    public boolean reserve(Integer request) {
      return false;
    }

    @Override
    public void release(Integer request) {}

    @Override
    public void refuse(Integer request) {}
  }
}
