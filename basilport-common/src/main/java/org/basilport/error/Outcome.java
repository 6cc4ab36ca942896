package org.basilport.error;

/** What a caller may conclude about a failed request. */
public enum Outcome {
  /** No backend server received any byte of the request. */
  NOT_RUN,
  /** A backend server may have run the request. */
  MAY_HAVE_RUN,
  /** The request ran, and its response was lost after part of it had been delivered. */
  LOST_PART_WAY
}
