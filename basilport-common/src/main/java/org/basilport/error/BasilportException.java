package org.basilport.error;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/** A failure with the step and the peer at which it arose, and what it says about the request. */
public class BasilportException extends RuntimeException {
  private final FailureCode code;
  private final Outcome outcome;
  private final Step step;
  private final String peer;
  private final Duration retryAfter;

  /**
   * Creates a failure.
   *
   * @param peer address or id of the other side, empty when there was none
   * @param retryAfter when to try again, or null when a retry would not help
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

  /** What the failure says about the request. */
  public Outcome outcome() {
    return outcome;
  }

  /** The step at which the failure arose. */
  public Step step() {
    return step;
  }

  /** Address or id of the other side, empty when there was none. */
  public String peer() {
    return peer;
  }

  /** When to try again. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfter);
  }

  /**
   * Returns the failure of an asynchronous operation without the wrappers that {@code
   * CompletableFuture} adds. Any other exception becomes INTERNAL with the given outcome and step.
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
