package org.basilport.bench.soak;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.basilport.misc.Scheduler;

/**
 * Boundary of a simulated process. Calls leave the process through the external scheduler; results
 * and notifications arrive as tasks of the process, which are deferred while it is paused and
 * discarded once it is killed.
 */
final class ProcessBoundary {
  private final ProcessScheduler process;
  private final Scheduler externalScheduler;

  ProcessBoundary(ProcessScheduler process, Scheduler externalScheduler) {
    this.process = process;
    this.externalScheduler = externalScheduler;
  }

  /**
   * Runs a call outside the process.
   *
   * @return a future that completes inside the process; it never completes once the process is
   *     killed
   */
  <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    if (process.killed()) {
      return result;
    }
    externalScheduler.execute(
        () -> call.get().whenComplete((value, failure) -> complete(result, value, failure)));
    return result;
  }

  /** Delivers a notification inside the process. */
  void deliver(Runnable notification) {
    process.execute(notification);
  }

  /** Runs an action outside the process, unless the process has been killed. */
  void send(Runnable action) {
    if (!process.killed()) {
      externalScheduler.execute(action);
    }
  }

  private <T> void complete(CompletableFuture<T> result, T value, Throwable failure) {
    process.execute(
        () -> {
          if (failure != null) {
            result.completeExceptionally(failure);
          } else {
            result.complete(value);
          }
        });
  }
}
