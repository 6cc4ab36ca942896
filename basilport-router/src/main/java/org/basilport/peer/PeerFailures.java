package org.basilport.peer;

import java.time.Duration;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;

/** Creates the exceptions of failed calls between instances. */
public final class PeerFailures {
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private PeerFailures() {}

  /** Returns the failure of a call to a peer that could not be reached; the call did not run. */
  public static UnavailableException unreachable(String peerAddress, Throwable cause) {
    return failure(Outcome.NOT_RUN, peerAddress, "peer " + peerAddress + " is unreachable", cause);
  }

  /** Returns the failure of a call that timed out; the call may have run. */
  public static UnavailableException timedOut(String peerAddress) {
    String message = "peer " + peerAddress + " did not respond in time";
    return failure(Outcome.MAY_HAVE_RUN, peerAddress, message, null);
  }

  /** Returns the failure of a call with the given outcome. */
  public static UnavailableException failure(
      Outcome outcome, String peerAddress, String message, Throwable cause) {
    return new UnavailableException(
        FailureCode.PEER_UNAVAILABLE, outcome, Step.PEER, peerAddress, RETRY_AFTER, message, cause);
  }
}
