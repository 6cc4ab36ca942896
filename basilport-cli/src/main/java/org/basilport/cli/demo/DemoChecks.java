package org.basilport.cli.demo;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Prints what the demo does and remembers broken guarantees. */
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

  /** Waits until a condition holds; returns how long that took, or the limit when it did not. */
  Duration await(Duration timeout, BooleanSupplier condition) throws InterruptedException {
    return await(timeout, POLL_INTERVAL, condition);
  }

  /** Waits like {@link #await(Duration, BooleanSupplier)}, with a pause between two questions. */
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
