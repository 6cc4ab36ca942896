package org.basilport.delivery;

import java.time.Duration;
import org.basilport.error.BackendException;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.quarantine.Verdict;

/** Creates the failures that a session reports to its caller. */
final class SessionFailures {
  private static final Duration UNRESOLVED_RETRY_AFTER = Duration.ofSeconds(5);
  private static final Duration NO_BACKEND_RETRY_AFTER = Duration.ofSeconds(1);

  boolean rejects(Verdict verdict) {
    return verdict == Verdict.QUARANTINED || verdict == Verdict.UNRESOLVED;
  }

  BasilportException quarantined(Verdict verdict, boolean mayHaveRun) {
    boolean unresolved = verdict == Verdict.UNRESOLVED;
    return unavailable(
        FailureCode.QUARANTINED,
        unresolved ? UNRESOLVED_RETRY_AFTER : null,
        unresolved
            ? "the request lost its connection to a backend server that may have crashed"
            : "the request is quarantined because it crashes backend servers",
        mayHaveRun);
  }

  BasilportException queueFull(long retryAfterMillis, boolean mayHaveRun) {
    Duration retryAfter = Duration.ofMillis(retryAfterMillis);
    return unavailable(FailureCode.QUEUE_FULL, retryAfter, "the queue is full", mayHaveRun);
  }

  BasilportException queueTimeout(long retryAfterMillis, boolean mayHaveRun) {
    Duration retryAfter = Duration.ofMillis(retryAfterMillis);
    String message = "no backend server became free in time";
    return unavailable(FailureCode.TIMEOUT, retryAfter, message, mayHaveRun);
  }

  BasilportException noBackend(boolean mayHaveRun) {
    String message = "no backend server can be reached";
    return unavailable(FailureCode.NO_BACKEND, NO_BACKEND_RETRY_AFTER, message, mayHaveRun);
  }

  BasilportException lost(String serverId, FrameBuffer buffer, String reason) {
    boolean deliveryStarted = buffer.deliveredOffset() > 0;
    return new BackendException(
        FailureCode.BACKEND_LOST,
        deliveryStarted ? Outcome.LOST_PART_WAY : Outcome.MAY_HAVE_RUN,
        Step.STREAM,
        serverId,
        "the generation was lost: " + reason,
        null);
  }

  private static BasilportException unavailable(
      FailureCode code, Duration retryAfter, String message, boolean mayHaveRun) {
    Outcome outcome = mayHaveRun ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN;
    return new UnavailableException(code, outcome, Step.ADMIT, "", retryAfter, message, null);
  }
}
