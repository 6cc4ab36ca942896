package org.basilport.bench.contention;

/** What distinguishes the callers of the first workspace from those of the others. */
public enum CallerBehaviour {
  /** Nothing. */
  SAME,
  /** Return at once after a refusal, to any instance. */
  RETURN_AT_ONCE,
  /** Return at once after a refusal, to the same instance. */
  RETURN_AT_ONCE_SAME_INSTANCE,
  /** Send each request to four instances at a time. */
  MANY_INSTANCES,
  /** Send four times the requests of a quarter of the size. */
  SMALL_REQUESTS,
  /** Send four times the requests. */
  MORE_REQUESTS,
  /** Send a quarter of the requests, of four times the size. */
  LARGE_REQUESTS,
  /** Use the instances of one cell only. */
  ONE_CELL
}
