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
import org.basilport.policy.limit.TokenBucket;

/** Enforces this instance's share of the workspace limits; safe to use from any thread. */
final class WorkspaceLimits {
  private static final double BURST_SECONDS = 2;
  private static final Duration CONCURRENCY_RETRY_AFTER = Duration.ofSeconds(1);

  private final Scheduler clock;
  private final Map<String, Usage> usages = new HashMap<>();

  WorkspaceLimits(Scheduler clock) {
    this.clock = clock;
  }

  /**
   * Counts a request as in progress until the returned action runs. Fails with {@code
   * RejectedException} OVER_LIMIT.
   *
   * @param instances number of serving instances, which share the limits evenly
   */
  synchronized Runnable acquire(Workspace workspace, int instances) {
    double rate = workspace.requestsPerSecond() / instances;
    // A share below one request would reject every request.
    double burst = Math.max(1, rate * BURST_SECONDS);
    int maxConcurrent = Math.max(1, (workspace.maxConcurrent() + instances - 1) / instances);
    long now = clock.nanoTime();
    Usage usage =
        usages.computeIfAbsent(
            workspace.name(), name -> new Usage(new TokenBucket(rate, burst, now)));
    usage.bucket.resize(rate, burst, now);
    if (usage.active >= maxConcurrent) {
      throw rejection(
          CONCURRENCY_RETRY_AFTER, "the workspace has reached its limit of concurrent requests");
    }
    if (!usage.bucket.tryTake(1, now)) {
      Duration wait = Duration.ofMillis(usage.bucket.waitMillis(1, now));
      throw rejection(wait, "the workspace has exceeded its request rate limit");
    }
    usage.active++;
    AtomicBoolean released = new AtomicBoolean();
    return () -> {
      if (released.compareAndSet(false, true)) {
        release(usage);
      }
    };
  }

  private synchronized void release(Usage usage) {
    usage.active--;
  }

  private static RejectedException rejection(Duration retryAfter, String message) {
    return new RejectedException(FailureCode.OVER_LIMIT, Step.ADMIT, retryAfter, message);
  }

  private static final class Usage {
    private final TokenBucket bucket;
    private int active;

    Usage(TokenBucket bucket) {
      this.bucket = bucket;
    }
  }
}
