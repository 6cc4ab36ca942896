package org.basilport.gateway.config;

/** Whether a request that may have been executed may be sent to another backend server. */
public enum Repeatability {
  /** May be executed any number of times. */
  IDEMPOTENT,
  /** Is executed at most once. */
  AT_MOST_ONCE,
  /** A stream of events that another server may resume after the last delivered event. */
  RESUMABLE_STREAM,
  /** A stream of events whose request is executed at most once. */
  STREAM;

  /** Whether the response is a stream of events. */
  public boolean streamed() {
    return this == RESUMABLE_STREAM || this == STREAM;
  }

  /** Whether a request that may have been executed may be sent again. */
  public boolean repeatable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }
}
