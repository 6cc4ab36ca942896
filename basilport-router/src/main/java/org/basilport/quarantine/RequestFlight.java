package org.basilport.quarantine;

/** A request that a backend server runs. */
public interface RequestFlight {
  /** The request ran to its end; a suspect is cleared. */
  void completed();

  /** The request was withdrawn or never reached the backend server. */
  void withdrawn();

  /** The connection was lost for good, perhaps because the backend server died. */
  void lost();
}
