package org.basilport.cli.demo;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Prints the progress of the demo and counts passed and failed checks. */
final class DemoChecks {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  private final PrintWriter out;
  private int passed;
  private int failed;

  DemoChecks(PrintWriter out) {
    this.out = out;
  }

  void print(String line) {
    out.println(line);
    out.flush();
  }

  void check(boolean condition, String guarantee) {
    if (condition) {
      passed++;
    } else {
      failed++;
    }
    print((condition ? "  holds: " : "  BROKEN: ") + guarantee);
  }

  /** Waits until a condition holds; returns the elapsed time, or the timeout if it was exceeded. */
  Duration await(Duration timeout, BooleanSupplier condition) throws InterruptedException {
    return await(timeout, POLL_INTERVAL, condition);
  }

  /** Waits like {@link #await(Duration, BooleanSupplier)}, with the given poll interval. */
  Duration await(Duration timeout, Duration interval, BooleanSupplier condition)
      throws InterruptedException {
    long startNanos = System.nanoTime();
    Duration waited = Duration.ZERO;
    while (!condition.getAsBoolean() && waited.compareTo(timeout) < 0) {
      Thread.sleep(interval.toMillis());
      waited = Duration.ofNanos(System.nanoTime() - startNanos);
    }
    return waited.compareTo(timeout) < 0 ? waited : timeout;
  }

  boolean allPassed() {
    print("demo: " + passed + " checks hold, " + failed + " are broken");
    return failed == 0;
  }
}
