package org.basilport.event;

import java.util.function.Supplier;

/** Checks of invariants at run time. */
public final class Invariant {

  private Invariant() {}

  /**
   * Records event 9001 and throws {@link InvariantViolation} when a condition is false.
   *
   * @param name short name of the invariant
   * @param detail values that violate it
   */
  public static void check(boolean condition, EventSink events, String name, String detail) {
    check(condition, events, name, () -> detail);
  }

  /** Checks a condition on a hot path; the detail is computed only when the condition is false. */
  public static void check(
      boolean condition, EventSink events, String name, Supplier<String> detail) {
    if (!condition) {
      String values = detail.get();
      events.record(EventType.INVARIANT_VIOLATED, EventSubject.NONE, name, values);
      throw new InvariantViolation(name, values);
    }
  }
}
