package org.basilport.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;

/** Scheduler that holds due tasks during a pause; its clock continues to advance. */
final class PausableScheduler implements Scheduler {
  private final Scheduler delegate;
  private final ArrayDeque<Task> heldTasks = new ArrayDeque<>();
  private boolean paused;

  PausableScheduler(Scheduler delegate) {
    this.delegate = delegate;
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    while (!heldTasks.isEmpty()) {
      delegate.execute(heldTasks.removeFirst()::run);
    }
  }

  @Override
  public long nanoTime() {
    return delegate.nanoTime();
  }

  @Override
  public Instant now() {
    return delegate.now();
  }

  @Override
  public void execute(Runnable task) {
    schedule(Duration.ZERO, task);
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable task) {
    Task scheduled = new Task(task);
    Cancellable timer = delegate.schedule(delay, scheduled::run);
    return () -> {
      scheduled.action = null;
      timer.cancel();
    };
  }

  private final class Task {
    private Runnable action;

    Task(Runnable action) {
      this.action = action;
    }

    void run() {
      if (action == null) {
        return;
      }
      if (paused) {
        heldTasks.addLast(this);
      } else {
        action.run();
      }
    }
  }
}
