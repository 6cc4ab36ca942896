package org.basilport.bench.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;

/**
 * The scheduler of one simulated process, which can be paused and killed.
 *
 * <p>While the process is paused its tasks wait, as they do when an operating system stops a
 * process; once it is killed none of them runs.
 */
final class ProcessScheduler implements Scheduler {
  private final Scheduler delegate;
  private final List<Runnable> held = new ArrayList<>();
  private boolean paused;
  private boolean killed;

  ProcessScheduler(Scheduler delegate) {
    this.delegate = delegate;
  }

  void pause() {
    paused = true;
  }

  /** Runs the tasks that became due during the pause, in their order. */
  void resume() {
    paused = false;
    List<Runnable> due = List.copyOf(held);
    held.clear();
    due.forEach(this::execute);
  }

  void kill() {
    killed = true;
    held.clear();
  }

  boolean running() {
    return !killed && !paused;
  }

  boolean killed() {
    return killed;
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
    delegate.execute(() -> runOrHold(task));
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable task) {
    if (killed) {
      return () -> {};
    }
    CancellableTask cancellable = new CancellableTask(task);
    delegate.schedule(delay, () -> runOrHold(cancellable));
    return cancellable;
  }

  private void runOrHold(Runnable task) {
    if (killed) {
      return;
    }
    if (paused) {
      held.add(task);
      return;
    }
    task.run();
  }

  /** A task that can still be cancelled while the process is paused. */
  private static final class CancellableTask implements Runnable, Cancellable {
    private Runnable task;

    CancellableTask(Runnable task) {
      this.task = task;
    }

    @Override
    public void run() {
      if (task != null) {
        task.run();
      }
    }

    @Override
    public void cancel() {
      task = null;
    }
  }
}
