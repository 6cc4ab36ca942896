package org.basilport.membership;

/** What other instances think of an instance's heartbeats. */
public enum MemberHealth {
  ALIVE,
  SUSPECTED,
  DEAD
}
