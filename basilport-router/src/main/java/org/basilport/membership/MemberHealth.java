package org.basilport.membership;

/** Health of a member, derived from its heartbeats by the observing instance. */
public enum MemberHealth {
  ALIVE,
  SUSPECTED,
  DEAD
}
