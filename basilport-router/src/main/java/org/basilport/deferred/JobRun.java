package org.basilport.deferred;

import java.util.List;
import org.basilport.delivery.GenerationListener;
import org.basilport.error.BasilportException;
import org.basilport.misc.Scheduler;

/** Collects the tokens of one run of a job and reports its end on the control scheduler. */
final class JobRun implements GenerationListener {
  /** Receives the end of a run; exactly one method is called, on the control scheduler. */
  interface Listener {
    void onRunCompleted(JobRecord job, String text, long tokens);

    void onRunFailed(JobRecord job, BasilportException failure);

    /** The generation was cancelled before it was complete; the job can be run again. */
    void onRunInterrupted(JobRecord job);

    void onRunHandedOver(JobRecord job, String resumeToken);
  }

  private final JobRecord job;
  private final Scheduler control;
  private final Listener listener;
  private final StringBuilder text = new StringBuilder();

  JobRun(JobRecord job, Scheduler control, Listener listener) {
    this.job = job;
    this.control = control;
    this.listener = listener;
  }

  @Override
  public void onTokens(long offset, List<String> tokens, String resumeToken) {
    tokens.forEach(text::append);
  }

  @Override
  public void onEnd(long totalTokens, String reason) {
    control.execute(
        () -> {
          if (reason.equals("cancelled")) {
            listener.onRunInterrupted(job);
          } else {
            listener.onRunCompleted(job, text.toString(), totalTokens);
          }
        });
  }

  @Override
  public void onHandover(String resumeToken, List<String> addresses) {
    control.execute(() -> listener.onRunHandedOver(job, resumeToken));
  }

  @Override
  public void onFailure(BasilportException failure) {
    control.execute(() -> listener.onRunFailed(job, failure));
  }
}
