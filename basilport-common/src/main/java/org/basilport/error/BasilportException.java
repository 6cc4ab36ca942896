package org.basilport.error;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/** Failure with the step and the peer at which it occurred and its outcome for the request. */
public class BasilportException extends RuntimeException {
  private final FailureCode code;
  private final Outcome outcome;
  private final Step step;
  private final String peer;
  private final Duration retryAfter;

  /**
   * Creates a failure.
   *
   * @param peer address or id of the peer, empty when there was none
   * @param retryAfter delay after which to retry, or null when a retry would not help
   */
  public BasilportException(
      FailureCode code,
      Outcome outcome,
      Step step,
      String peer,
      Duration retryAfter,
      String message,
      Throwable cause) {
    super(message, cause);
    this.code = code;
    this.outcome = outcome;
    this.step = step;
    this.peer = peer;
    this.retryAfter = retryAfter;
  }

  /** Creates a failure without a cause and without a retry delay. */
  public BasilportException(
      FailureCode code, Outcome outcome, Step step, String peer, String message) {
    this(code, outcome, step, peer, null, message, null);
  }

  /** Reason of the failure. */
  public FailureCode code() {
    return code;
  }

  /** Outcome of the failed request. */
  public Outcome outcome() {
    return outcome;
  }

  /** Step at which the failure occurred. */
  public Step step() {
    return step;
  }

  /** Address or id of the peer, empty when there was none. */
  public String peer() {
    return peer;
  }

  /** Delay after which to retry; empty when a retry would not help. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }

  /**
   * Returns the cause of an asynchronous failure without the wrappers that {@code
   * CompletableFuture} adds. Any other exception becomes {@code INTERNAL} with the given outcome
   * and step.
   */
  public static BasilportException unwrap(Throwable failure, Outcome outcome, Step step) {
    Throwable cause = failure;
    while ((cause instanceof CompletionException || cause instanceof ExecutionException)
        && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (cause instanceof BasilportException) {
      return (BasilportException) cause;
    }
    return new BasilportException(
        FailureCode.INTERNAL, outcome, step, "", null, String.valueOf(cause), cause);
  }
}
