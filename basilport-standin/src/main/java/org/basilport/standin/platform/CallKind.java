package org.basilport.standin.platform;

/** Kind of a call to the platform, as it is counted. */
public enum CallKind {
  READ,
  WRITE,
  WATCH,
  LIST,
  INSTANCES,
  WEIGHTS
}
