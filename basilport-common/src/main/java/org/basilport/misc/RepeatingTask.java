package org.basilport.misc;

import java.time.Duration;

/** Task that schedules itself again after each run until it is cancelled. */
final class RepeatingTask implements Cancellable {
  private final Scheduler scheduler;
  private final Duration delay;
  private final Runnable task;
  private volatile boolean cancelled;
  private volatile Cancellable nextRun = () -> {};

  RepeatingTask(Scheduler scheduler, Duration delay, Runnable task) {
    this.scheduler = scheduler;
    this.delay = delay;
    this.task = task;
  }

  void scheduleNext() {
    if (!cancelled) {
      nextRun = scheduler.schedule(delay, this::run);
    }
  }

  private void run() {
    if (cancelled) {
      return;
    }
    try {
      task.run();
    } finally {
      scheduleNext();
    }
  }

  @Override
  public void cancel() {
    cancelled = true;
    nextRun.cancel();
  }
}
