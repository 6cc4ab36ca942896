package org.basilport.membership;

/** What an instance says of itself. */
public enum MemberStatus {
  STARTING,
  SERVING,
  LEAVING,
  LEFT
}
