package org.basilport.standin.service;

/** What can go wrong with a call of a plain service. */
public enum ServiceFault {
  /** The connect is refused; NOT_RUN. */
  REFUSED_CONNECT,
  /** The connection is lost before the call runs; MAY_HAVE_RUN. */
  LOST_BEFORE_EXECUTION,
  /** The call runs and the connection is lost before its answer; MAY_HAVE_RUN. */
  LOST_AFTER_EXECUTION,
  /** The call runs and the answer of another call arrives; its request id shows it. */
  MISROUTED_ANSWER
}
