package org.basilport.policy.dispatch;

/** The attempts of one request at backend servers, and what is known of their execution. */
public final class AttemptHistory {
  private int sent;
  private int failed;
  private int runs;

  /** Records that the request is sent to a server, which may execute it from now on. */
  public void recordSend() {
    sent++;
    runs++;
  }

  /** Records that the server of the last attempt has said that it did not execute it. */
  public void recordNotExecuted() {
    runs--;
  }

  /** Records an attempt that was not executed: it was refused, or there was no connection. */
  public void recordFailed() {
    failed++;
  }

  /** Number of sends. */
  public int sent() {
    return sent;
  }

  /** Number of attempts that were not executed. */
  public int failed() {
    return failed;
  }

  /** Number of sends of which no server has said that it did not execute them. */
  public int runs() {
    return runs;
  }
}
