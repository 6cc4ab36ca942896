package org.basilport.quarantine;

/** How a request may run. */
public enum Verdict {
  /** It runs normally. */
  CLEAR,
  /** It runs only in isolation. */
  SUSPECT,
  /** It lost its connection in isolation, and it is not yet known whether the server crashed. */
  UNRESOLVED,
  /** It is rejected. */
  QUARANTINED
}
