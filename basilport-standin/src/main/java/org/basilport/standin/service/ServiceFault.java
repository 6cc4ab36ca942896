package org.basilport.standin.service;

/** Injectable faults of a call to an application service. */
public enum ServiceFault {
  /** The connection is refused; the outcome is NOT_RUN. */
  REFUSED_CONNECT,
  /** The connection is lost before the execution; the outcome is MAY_HAVE_RUN. */
  LOST_BEFORE_EXECUTION,
  /** The connection is lost between execution and response; the outcome is MAY_HAVE_RUN. */
  LOST_AFTER_EXECUTION,
  /** The call runs, but the response to another call, with that call's request id, is returned. */
  MISROUTED_ANSWER
}
