package org.basilport.quarantine;

/** A request that was sent to a backend server; exactly one method is called when it ends. */
public interface InFlightRequest {
  /** The request completed; a suspect is cleared. */
  void completed();

  /** The request was abandoned or never reached the backend server. */
  void notRun();

  /** The connection was lost, possibly because the backend server crashed. */
  void connectionLost();
}
