package org.basilport.misc;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Scheduler that runs tasks on a single named daemon thread. */
public final class ThreadScheduler implements Scheduler, AutoCloseable {
  private static final Logger LOG = LogManager.getLogger(ThreadScheduler.class);

  private final ScheduledThreadPoolExecutor executor;

  /** Creates the scheduler and its thread. */
  public ThreadScheduler(String threadName) {
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, threadName);
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public Instant now() {
    return Instant.now();
  }

  @Override
  public void execute(Runnable task) {
    schedule(Duration.ZERO, task);
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable task) {
    try {
      ScheduledFuture<?> future =
          executor.schedule(new LoggedTask(task), delay.toNanos(), TimeUnit.NANOSECONDS);
      return () -> future.cancel(false);
    } catch (RejectedExecutionException e) {
      // After shutdown no caller waits for the result of a task.
      LOG.debug("task rejected after shutdown of the scheduler", e);
      return () -> {};
    }
  }

  @Override
  public void close() {
    executor.shutdown();
  }
}
