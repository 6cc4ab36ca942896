package org.basilport.router;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.basilport.config.Workspace;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.misc.Scheduler;

/** This instance's share of each workspace's limits; safe to use from any thread. */
final class WorkspaceLimits {
  private static final double BURST_SECONDS = 2;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Duration CONCURRENCY_RETRY = Duration.ofSeconds(1);

  private final Scheduler clock;
  private final Map<String, Usage> usages = new HashMap<>();

  WorkspaceLimits(Scheduler clock) {
    this.clock = clock;
  }

  /**
   * Counts a request in progress until the result is run. Fails with {@code RejectedException}
   * OVER_LIMIT.
   *
   * @param instances number of instances that serve, which share the limits evenly
   */
  synchronized Runnable enter(Workspace workspace, int instances) {
    double rate = workspace.requestsPerSecond() / instances;
    // A share below one request would refuse everything.
    double burst = Math.max(1, rate * BURST_SECONDS);
    int concurrent = Math.max(1, (workspace.maxConcurrent() + instances - 1) / instances);
    long now = clock.nanoTime();
    Usage usage = usages.computeIfAbsent(workspace.name(), name -> new Usage(burst, now));
    usage.refill(rate, burst, now);
    if (usage.active >= concurrent) {
      throw refusal(CONCURRENCY_RETRY, "the workspace has too many requests in progress");
    }
    if (usage.tokens < 1) {
      long wait = (long) Math.ceil((1 - usage.tokens) / rate * 1_000);
      throw refusal(Duration.ofMillis(wait), "the workspace sends requests too fast");
    }
    usage.tokens -= 1;
    usage.active++;
    AtomicBoolean left = new AtomicBoolean();
    return () -> {
      if (left.compareAndSet(false, true)) {
        leave(usage);
      }
    };
  }

  private synchronized void leave(Usage usage) {
    usage.active--;
  }

  private static RejectedException refusal(Duration retryAfter, String message) {
    return new RejectedException(FailureCode.OVER_LIMIT, Step.ADMIT, retryAfter, message);
  }

  private static final class Usage {
    private double tokens;
    private long refilledNanos;
    private int active;

    Usage(double tokens, long now) {
      this.tokens = tokens;
      this.refilledNanos = now;
    }

    void refill(double rate, double burst, long now) {
      double gained = (now - refilledNanos) / NANOS_PER_SECOND * rate;
      tokens = Math.min(burst, tokens + gained);
      refilledNanos = now;
    }
  }
}
