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

/** Time source of a contract test: virtual time in memory, real time over HTTP. */
interface TestClock extends AutoCloseable {
  Duration TIMEOUT = Duration.ofSeconds(10);

  Scheduler scheduler();

  void advance(Duration duration);

  @Override
  default void close() {}

  default void awaitUntil(BooleanSupplier condition) {
    Duration step = Duration.ofMillis(5);
    for (Duration waited = Duration.ZERO; !condition.getAsBoolean(); waited = waited.plus(step)) {
      if (waited.compareTo(TIMEOUT) > 0) {
        throw new AssertionError("the condition was not met within " + TIMEOUT);
      }
      advance(step);
    }
  }

  default <T> T await(CompletableFuture<T> future) {
    awaitUntil(future::isDone);
    return future.join();
  }

  default BasilportException awaitFailure(CompletableFuture<?> future) {
    awaitUntil(future::isDone);
    try {
      future.get(0, TimeUnit.SECONDS);
    } catch (ExecutionException | InterruptedException | TimeoutException e) {
      return BasilportException.unwrap(e, Outcome.MAY_HAVE_RUN, Step.SEND);
    }
    throw new AssertionError("the operation did not fail");
  }

  static TestClock virtualTime() {
    VirtualScheduler scheduler = new VirtualScheduler(Instant.EPOCH);
    return new TestClock() {
      @Override
      public Scheduler scheduler() {
        return scheduler;
      }

      @Override
      public void advance(Duration duration) {
        scheduler.runFor(duration);
      }
    };
  }

  static TestClock realTime() {
    ThreadScheduler scheduler = new ThreadScheduler("contract-test");
    return new TestClock() {
      @Override
      public Scheduler scheduler() {
        return scheduler;
      }

      @Override
      public void advance(Duration duration) {
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
