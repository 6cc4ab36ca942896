package org.basilport.deferred;

import org.basilport.delivery.GenerationHandle;
import org.basilport.delivery.GenerationListener;
import org.basilport.delivery.GenerationRequest;

/** Starts the generations of jobs under the current configuration. */
public interface JobLauncher {
  /**
   * Starts a generation.
   *
   * @param requestId id of the run, unique across runs
   * @param workspace workspace to which the generation is charged
   */
  GenerationHandle start(
      String requestId, String workspace, GenerationRequest request, GenerationListener listener);

  /** Resumes a generation that an earlier owner handed over. */
  GenerationHandle resume(String workspace, String resumeToken, GenerationListener listener);
}
