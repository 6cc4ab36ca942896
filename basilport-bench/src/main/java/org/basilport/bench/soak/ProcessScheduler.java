package org.basilport.bench.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;

/**
 * Scheduler of one simulated process, which can be paused and killed.
 *
 * <p>Tasks that become due while the process is paused are deferred until it resumes, as after
 * SIGSTOP; once it is killed, no task runs.
 */
final class ProcessScheduler implements Scheduler {
  private final Scheduler delegate;
  private final List<Runnable> deferredTasks = new ArrayList<>();
  private boolean paused;
  private boolean killed;

  ProcessScheduler(Scheduler delegate) {
    this.delegate = delegate;
  }

  void pause() {
    paused = true;
  }

  /** Runs the tasks that became due during the pause, in order. */
  void resume() {
    paused = false;
    List<Runnable> due = List.copyOf(deferredTasks);
    deferredTasks.clear();
    due.forEach(this::execute);
  }

  void kill() {
    killed = true;
    deferredTasks.clear();
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
    delegate.execute(() -> runOrDefer(task));
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable task) {
    if (killed) {
      return () -> {};
    }
    CancellableTask cancellable = new CancellableTask(task);
    delegate.schedule(delay, () -> runOrDefer(cancellable));
    return cancellable;
  }

  private void runOrDefer(Runnable task) {
    if (killed) {
      return;
    }
    if (paused) {
      deferredTasks.add(task);
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
