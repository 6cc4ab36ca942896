package org.basilport.standin.platform;

/** Kind of platform call for {@link CallCounts}; a deletion counts as a write. */
public enum CallKind {
  READ,
  WRITE,
  WATCH,
  LIST,
  INSTANCES,
  WEIGHTS
}
