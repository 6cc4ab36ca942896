package org.basilport.deferred;

import java.util.Optional;

/**
 * A deferred generation, whose result the caller collects later.
 *
 * @param id id of the job
 * @param workspace workspace of the job
 * @param state progress of the job
 * @param result complete generated text, present if the job is finished
 * @param failure failure message, present if the job failed
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
