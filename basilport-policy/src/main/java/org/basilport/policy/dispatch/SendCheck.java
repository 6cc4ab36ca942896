package org.basilport.policy.dispatch;

/**
 * Decides immediately before each send, first or repeated, whether a request may still be sent.
 *
 * <p>The load it answers: requests that waited in a queue or for a retry, and processes that were
 * paused. What was true at the arrival of a request may have run out since then.
 */
public final class SendCheck {
  /** Shortest remaining time, in milliseconds, for which a server could do anything. */
  private static final long MIN_REMAINING_MILLIS = 1;

  private SendCheck() {}

  /** Result of the check. */
  public enum Result {
    /** The request may be sent. */
    PERMITTED,
    /** The caller has disconnected. */
    CALLER_LEFT,
    /** The deadline has passed. */
    DEADLINE_PASSED,
    /** The access key is not in the applied configuration any more. */
    KEY_WITHDRAWN,
    /** The applied configuration is not proven to be recent enough to accept access keys. */
    KEY_NOT_PROVEN,
    /** The request, or a part of its prompt, crashes servers. */
    QUARANTINED,
    /** The request may have run and must not run again. */
    ALREADY_RUN,
    /** The chosen server is leaving. */
    SERVER_LEAVING,
    /** The data centre of the chosen server is evacuated. */
    SERVER_EVACUATED,
    /** The chosen server has asked for a pause since it was chosen. */
    SERVER_PAUSED,
    /** The chosen server is cold, and this instance may not send it a request now. */
    SERVER_COLD,
    /** The chosen server is in a region in which the request may not run. */
    SERVER_OUTSIDE_REGIONS
  }

  /**
   * State at the time of the send.
   *
   * @param callerConnected whether the caller still waits for the response
   * @param remainingMillis time until the deadline
   * @param keyChecked whether the send relies on an access key; false for the continuation of a
   *     response that has started
   * @param keyKnown whether the applied configuration contains the key
   * @param proofAgeMillis age of the proof that the applied configuration is the latest
   * @param maxProofAgeMillis age above which a proof is not sufficient
   * @param quarantined whether the request or a part of its prompt is quarantined
   * @param runPermitted whether a server may begin the request, or goes on with a run that stopped
   * @param serverLeaving whether the server is leaving and does not hold a copy of the generation
   * @param serverPaused whether the server wants no requests now and does not hold such a copy
   * @param serverEvacuated whether nothing may be sent to the data centre of the server, also if
   *     the server holds such a copy
   * @param serverInRegion whether the server is in a region in which the request may run
   */
  public record Conditions(
      boolean callerConnected,
      long remainingMillis,
      boolean keyChecked,
      boolean keyKnown,
      long proofAgeMillis,
      long maxProofAgeMillis,
      boolean quarantined,
      boolean runPermitted,
      boolean serverLeaving,
      boolean serverPaused,
      boolean serverEvacuated,
      boolean serverInRegion) {

    /**
     * State of a request that may run in all regions, at a send to a server whose data centre is
     * not evacuated.
     */
    public Conditions(
        boolean callerConnected,
        long remainingMillis,
        boolean keyChecked,
        boolean keyKnown,
        long proofAgeMillis,
        long maxProofAgeMillis,
        boolean quarantined,
        boolean runPermitted,
        boolean serverLeaving,
        boolean serverPaused) {
      this(
          callerConnected,
          remainingMillis,
          keyChecked,
          keyKnown,
          proofAgeMillis,
          maxProofAgeMillis,
          quarantined,
          runPermitted,
          serverLeaving,
          serverPaused,
          false,
          true);
    }
  }

  /** Checks the conditions; the first one that is not met determines the result. */
  public static Result check(Conditions conditions) {
    if (!conditions.callerConnected) {
      return Result.CALLER_LEFT;
    }
    if (conditions.remainingMillis < MIN_REMAINING_MILLIS) {
      return Result.DEADLINE_PASSED;
    }
    if (conditions.keyChecked && !conditions.keyKnown) {
      return Result.KEY_WITHDRAWN;
    }
    if (conditions.keyChecked && conditions.proofAgeMillis > conditions.maxProofAgeMillis) {
      return Result.KEY_NOT_PROVEN;
    }
    if (conditions.quarantined) {
      return Result.QUARANTINED;
    }
    if (!conditions.runPermitted) {
      return Result.ALREADY_RUN;
    }
    if (!conditions.serverInRegion) {
      return Result.SERVER_OUTSIDE_REGIONS;
    }
    if (conditions.serverLeaving) {
      return Result.SERVER_LEAVING;
    }
    if (conditions.serverEvacuated) {
      return Result.SERVER_EVACUATED;
    }
    return conditions.serverPaused ? Result.SERVER_PAUSED : Result.PERMITTED;
  }
}
