package org.basilport.event;

import java.util.function.Supplier;

/** Checks of guarantees at run time. */
public final class Invariant {

  private Invariant() {}

  /**
   * Records event 9001 and throws {@link InvariantViolation} when a condition does not hold.
   *
   * @param name short name of the invariant
   * @param detail the values that break it
   */
  public static void check(boolean condition, EventSink events, String name, String detail) {
    check(condition, events, name, () -> detail);
  }

  /** Checks a condition of a hot path: the detail is made only when the condition does not hold. */
  public static void check(
      boolean condition, EventSink events, String name, Supplier<String> detail) {
    if (!condition) {
      String values = detail.get();
      events.record(EventType.INVARIANT_VIOLATED, EventSubject.NONE, name, values);
      throw new InvariantViolation(name, values);
    }
  }
}
