package org.basilport.event;

/** Checks of invariants that hold in every run; a violation is recorded and thrown. */
public final class Invariant {
  private Invariant() {}

  /** Records an event and throws {@link InvariantViolation} unless the condition holds. */
  public static void check(boolean condition, EventSink events, String name, String detail) {
    if (!condition) {
      events.record(EventType.INVARIANT_VIOLATED, EventSubject.NONE, name, detail);
      throw new InvariantViolation("invariant " + name + " violated: " + detail);
    }
  }
}
