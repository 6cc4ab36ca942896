package org.basilport.quarantine;

/** How a request may run. */
public enum Verdict {
  /** It runs like any other. */
  CLEAR,
  /** It runs only in isolation. */
  SUSPECT,
  /** It lost a backend server in isolation, and it is not known yet whether the server died. */
  UNRESOLVED,
  /** It is refused. */
  QUARANTINED
}
