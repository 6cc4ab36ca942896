package org.basilport.deferred;

import java.util.List;
import org.basilport.delivery.GenerationListener;
import org.basilport.error.BasilportException;
import org.basilport.misc.Scheduler;

/** Collects the tokens of one run of a job; its result is told on the control scheduler. */
final class JobRun implements GenerationListener {
  /** Learns how a run ended. */
  interface Owner {
    void complete(JobRecord job, String text, long tokens);

    void failed(JobRecord job, BasilportException failure);

    void interrupted(JobRecord job);

    void handedOver(JobRecord job, String resumeToken);
  }

  private final JobRecord job;
  private final Scheduler control;
  private final Owner owner;
  private final StringBuilder text = new StringBuilder();

  JobRun(JobRecord job, Scheduler control, Owner owner) {
    this.job = job;
    this.control = control;
    this.owner = owner;
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
            owner.interrupted(job);
          } else {
            owner.complete(job, text.toString(), totalTokens);
          }
        });
  }

  @Override
  public void onHandover(String resumeToken, List<String> addresses) {
    control.execute(() -> owner.handedOver(job, resumeToken));
  }

  @Override
  public void onFailure(BasilportException failure) {
    control.execute(() -> owner.failed(job, failure));
  }
}
