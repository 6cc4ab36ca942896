package org.basilport.gateway.config;

/** Whether a request may reach a second backend server after it may have run. */
public enum Repeatability {
  /** May run any number of times. */
  IDEMPOTENT,
  /** Runs at most once. */
  AT_MOST_ONCE,
  /** A stream of events that may be continued elsewhere after the last delivered event. */
  RESUMABLE_STREAM,
  /** A stream of events that runs at most once. */
  STREAM;

  /** Whether the answer is a stream of events. */
  public boolean streamed() {
    return this == RESUMABLE_STREAM || this == STREAM;
  }

  /** Whether the request may be sent again after it may have run. */
  public boolean repeatable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }
}
