package org.basilport.event;

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
    if (!condition) {
      events.record(EventType.INVARIANT_VIOLATED, EventSubject.NONE, name, detail);
      throw new InvariantViolation(name, detail);
    }
  }
}
