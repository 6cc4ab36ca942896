package org.basilport.deferred;

import java.util.Optional;

/**
 * A generation whose result is collected later.
 *
 * @param id id of the job
 * @param workspace workspace of the job
 * @param state progress of the job
 * @param result the whole answer, when the job is finished
 * @param failure why the job failed, when it failed
 */
public record DeferredJob(
    String id, String workspace, State state, Optional<String> result, Optional<String> failure) {

  /** Progress of a job. */
  public enum State {
    QUEUED,
    RUNNING,
    FINISHED,
    FAILED
  }
}
