package org.basilport.bench.evenness;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.OutstandingWork;

/** A server that runs requests within its slots and memory and queues the rest. */
final class SimulatedServer {
  private static final double MIN_SPEED = 0.7;
  private static final double MAX_SPEED = 1.7;
  private static final double SLOWDOWN = 2.5;
  private static final double SLOWED_SHARE = 0.15;
  private static final long SLOWDOWN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private final ServerKind kind;
  private final long slowdownSeed;
  private final double speed;
  final Queue<SimulatedRequest> waiting = new ArrayDeque<>();
  OutstandingWork total = OutstandingWork.NONE;
  private OutstandingWork running = OutstandingWork.NONE;
  private long prefillEndNanos;

  SimulatedServer(ServerKind kind, SplittableRandom random) {
    this.kind = kind;
    this.slowdownSeed = random.nextLong();
    this.speed = MIN_SPEED * Math.pow(MAX_SPEED / MIN_SPEED, random.nextDouble());
  }

  /** Takes a waiting request if it fits beside the running ones. */
  SimulatedRequest begin() {
    SimulatedRequest next = waiting.peek();
    if (next == null
        || running.requests() >= kind.slots
        || (running.requests() > 0
            && running.memoryTokens() + next.demand.memoryTokens() > kind.memoryTokens)) {
      return null;
    }
    running = running.plus(next.demand.toWork());
    return waiting.remove();
  }

  /** Ends a running request. */
  void end(SimulatedRequest request) {
    running = running.minus(request.demand.toWork());
  }

  /** The time at which the prefill of a request starts. */
  long prefillStart(long now) {
    return Math.max(now, prefillEndNanos);
  }

  /** Reserves the prefill of a request and returns its end. */
  long prefill(SimulatedRequest request, long now) {
    prefillEndNanos = finish(prefillStart(now), request.prefillNanos);
    return prefillEndNanos;
  }

  /** The end of work that takes the given time on a server of the usual speed. */
  long finish(long start, double usualNanos) {
    double remaining = usualNanos / speed;
    long at = start;
    while (true) {
      double factor = slowdown(at);
      long intervalEnd = (at / SLOWDOWN_INTERVAL_NANOS + 1) * SLOWDOWN_INTERVAL_NANOS;
      double needed = remaining * factor;
      if (at + needed <= intervalEnd) {
        return at + Math.max(1, (long) needed);
      }
      remaining -= (intervalEnd - at) / factor;
      at = intervalEnd;
    }
  }

  /** Temporary slowdown, which the server states in its responses. */
  double slowdown(long now) {
    long interval = now / SLOWDOWN_INTERVAL_NANOS;
    return new SplittableRandom(slowdownSeed + interval).nextDouble() < SLOWED_SHARE ? SLOWDOWN : 1;
  }

  /** Share of the slots or of the memory that is in use or waited for, whichever is larger. */
  double load() {
    double memory = kind.memoryTokens == 0 ? 0 : (double) total.memoryTokens() / kind.memoryTokens;
    return Math.max((double) total.requests() / kind.slots, memory);
  }
}
