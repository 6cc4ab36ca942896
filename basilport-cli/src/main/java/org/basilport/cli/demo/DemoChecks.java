package org.basilport.cli.demo;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Prints what the demo does and remembers broken guarantees. */
final class DemoChecks {
  private static final Duration POLL = Duration.ofMillis(20);

  private final PrintWriter out;
  private int held;
  private int broken;

  DemoChecks(PrintWriter out) {
    this.out = out;
  }

  void say(String line) {
    out.println(line);
    out.flush();
  }

  void check(boolean condition, String guarantee) {
    if (condition) {
      held++;
    } else {
      broken++;
    }
    say((condition ? "  holds: " : "  BROKEN: ") + guarantee);
  }

  /** Waits until a condition holds; returns how long that took, or the limit when it did not. */
  Duration await(Duration limit, BooleanSupplier condition) throws InterruptedException {
    return await(limit, POLL, condition);
  }

  /** Waits like {@link #await(Duration, BooleanSupplier)}, with a pause between two questions. */
  Duration await(Duration limit, Duration pause, BooleanSupplier condition)
      throws InterruptedException {
    long begin = System.nanoTime();
    Duration waited = Duration.ZERO;
    while (!condition.getAsBoolean() && waited.compareTo(limit) < 0) {
      Thread.sleep(pause.toMillis());
      waited = Duration.ofNanos(System.nanoTime() - begin);
    }
    return waited.compareTo(limit) < 0 ? waited : limit;
  }

  boolean allHold() {
    say("demo: " + held + " checks hold, " + broken + " are broken");
    return broken == 0;
  }
}
