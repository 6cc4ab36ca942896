package org.basilport.cli;

import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;

/** Exit codes of the command. */
public enum ExitCode {
  DONE(0),
  CHECK_FAILED(1),
  USAGE(2),
  REFUSED(3),
  MAY_HAVE_RUN(4),
  LOST_PART_WAY(5),
  UNAVAILABLE(6),
  CONFLICT(7);

  private static final int FIRST_SERVER_ERROR = 500;

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Exit status of the process. */
  public int number() {
    return number;
  }

  /**
   * Returns the exit code of a failure. The outcome of the request takes precedence. If the request
   * did not run, the code is CONFLICT when another change or request was first, UNAVAILABLE for a
   * server error, and REFUSED otherwise.
   */
  public static ExitCode of(BasilportException failure) {
    if (failure.outcome() == Outcome.MAY_HAVE_RUN) {
      return MAY_HAVE_RUN;
    }
    if (failure.outcome() == Outcome.LOST_PART_WAY) {
      return LOST_PART_WAY;
    }
    if (failure.code() == FailureCode.CONFLICT || failure.code() == FailureCode.DUPLICATE) {
      return CONFLICT;
    }
    return failure.code().httpStatus() >= FIRST_SERVER_ERROR ? UNAVAILABLE : REFUSED;
  }
}
