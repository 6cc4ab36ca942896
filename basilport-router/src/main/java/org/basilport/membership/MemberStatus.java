package org.basilport.membership;

/** Status that an instance reports of itself, in the order in which it changes. */
public enum MemberStatus {
  STARTING,
  SERVING,
  LEAVING,
  LEFT
}
