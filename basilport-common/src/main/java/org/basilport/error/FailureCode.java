package org.basilport.error;

/** Reason of a failure, as reported to callers. */
public enum FailureCode {
  MALFORMED(400),
  UNAUTHENTICATED(401),
  FORBIDDEN(403),
  UNKNOWN_WORKSPACE(401),
  UNKNOWN_ROUTE(404),
  NOT_FOUND(404),
  CONFLICT(409),
  DUPLICATE(409),
  EXPIRED(410),
  TOO_LARGE(413),
  INVALID_CONFIGURATION(422),
  QUARANTINED(422),
  OVER_LIMIT(429),
  BACKEND_FAILED(502),
  BACKEND_LOST(502),
  NO_BACKEND(503),
  QUEUE_FULL(503),
  LEAVING(503),
  NOT_READY(503),
  PLATFORM_UNAVAILABLE(503),
  PEER_UNAVAILABLE(503),
  TIMEOUT(504),
  INTERNAL(500);

  private final int httpStatus;

  FailureCode(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /** The HTTP status that carries this failure. */
  public int httpStatus() {
    return httpStatus;
  }
}
