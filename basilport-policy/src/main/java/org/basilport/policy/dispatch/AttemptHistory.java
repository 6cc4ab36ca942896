package org.basilport.policy.dispatch;

/**
 * The attempts of one request at backend servers, and what is known of their execution. It decides
 * whether a server may begin the request, first or again.
 *
 * <p>A run begins with a send and counts until its server has said that it did not execute it. An
 * attempt without a connection says nothing about the runs before it. A continuation goes on with
 * the run before it.
 */
public final class AttemptHistory {
  private int sent;
  private int failed;
  private int runs;
  private boolean lastSendBeganRun;

  /**
   * Records that the request is sent to a server, which may execute it from now on.
   *
   * @param continuation whether the server goes on from a copy of the stopped run
   */
  public void recordSend(boolean continuation) {
    sent++;
    lastSendBeganRun = !continuation;
    if (lastSendBeganRun) {
      runs++;
    }
  }

  /** Records that the server of the last send has said that it did not execute it. */
  public void recordNotExecuted() {
    if (lastSendBeganRun) {
      runs--;
      lastSendBeganRun = false;
    }
  }

  /** Records an attempt that was not executed: it was refused, or there was no connection. */
  public void recordFailed() {
    failed++;
  }

  /** Number of sends, of runs and of continuations. */
  public int sent() {
    return sent;
  }

  /** Number of attempts that were not executed. */
  public int failed() {
    return failed;
  }

  /** Number of runs of which no server has said that it did not execute them. */
  public int runs() {
    return runs;
  }

  /**
   * Whether a server may begin the request.
   *
   * @param repeatable whether the request may run more than once
   * @param maxRuns maximum number of runs of a request that may be repeated
   */
  public boolean permitsRun(boolean repeatable, int maxRuns) {
    return runs == 0 || (repeatable && runs < maxRuns);
  }
}
