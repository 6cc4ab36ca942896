package org.basilport.bench.soak;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.basilport.misc.Scheduler;

/**
 * The edge of a simulated process: results from outside arrive as tasks of the process, so that
 * they wait while it is paused and vanish when it was killed.
 */
final class ProcessBoundary {
  private final ProcessScheduler process;
  private final Scheduler outside;

  ProcessBoundary(ProcessScheduler process, Scheduler outside) {
    this.process = process;
    this.outside = outside;
  }

  /** Runs a call outside the process and returns its result inside. */
  <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
    CompletableFuture<T> inside = new CompletableFuture<>();
    if (process.killed()) {
      return inside;
    }
    outside.execute(
        () -> call.get().whenComplete((value, failure) -> complete(inside, value, failure)));
    return inside;
  }

  /** Runs a notification inside the process. */
  void deliver(Runnable notification) {
    process.execute(notification);
  }

  /** Runs an action outside, unless the process was killed. */
  void send(Runnable action) {
    if (!process.killed()) {
      outside.execute(action);
    }
  }

  private <T> void complete(CompletableFuture<T> inside, T value, Throwable failure) {
    process.execute(
        () -> {
          if (failure != null) {
            inside.completeExceptionally(failure);
          } else {
            inside.complete(value);
          }
        });
  }
}
