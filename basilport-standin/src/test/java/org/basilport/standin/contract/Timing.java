package org.basilport.standin.contract;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.misc.Scheduler;
import org.basilport.misc.ThreadScheduler;
import org.basilport.misc.VirtualScheduler;

/** Lets a contract test wait in virtual or in real time. */
interface Timing extends AutoCloseable {
  Duration LIMIT = Duration.ofSeconds(10);

  Scheduler scheduler();

  void pass(Duration duration);

  @Override
  default void close() {}

  default void until(BooleanSupplier condition) {
    Duration step = Duration.ofMillis(5);
    for (Duration waited = Duration.ZERO; !condition.getAsBoolean(); waited = waited.plus(step)) {
      if (waited.compareTo(LIMIT) > 0) {
        throw new AssertionError("the condition did not hold within " + LIMIT);
      }
      pass(step);
    }
  }

  default <T> T await(CompletableFuture<T> future) {
    until(future::isDone);
    return future.join();
  }

  default BasilportException failure(CompletableFuture<?> future) {
    until(future::isDone);
    try {
      future.get(0, TimeUnit.SECONDS);
    } catch (ExecutionException | InterruptedException | TimeoutException e) {
      return BasilportException.unwrap(e, Outcome.MAY_HAVE_RUN, Step.SEND);
    }
    throw new AssertionError("the operation did not fail");
  }

  static Timing virtual() {
    VirtualScheduler scheduler = new VirtualScheduler(Instant.EPOCH);
    return new Timing() {
      @Override
      public Scheduler scheduler() {
        return scheduler;
      }

      @Override
      public void pass(Duration duration) {
        scheduler.runFor(duration);
      }
    };
  }

  static Timing real() {
    ThreadScheduler scheduler = new ThreadScheduler("contract-test");
    return new Timing() {
      @Override
      public Scheduler scheduler() {
        return scheduler;
      }

      @Override
      public void pass(Duration duration) {
        try {
          Thread.sleep(duration.toMillis());
        } catch (InterruptedException e) {
          throw new AssertionError("the test was interrupted", e);
        }
      }

      @Override
      public void close() {
        scheduler.close();
      }
    };
  }
}
