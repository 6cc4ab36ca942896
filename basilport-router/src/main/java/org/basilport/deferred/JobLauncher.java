package org.basilport.deferred;

import org.basilport.delivery.GenerationHandle;
import org.basilport.delivery.GenerationListener;
import org.basilport.delivery.GenerationRequest;

/** Runs the generations of jobs under the configuration in force. */
public interface JobLauncher {
  /**
   * Starts a generation.
   *
   * @param requestId id of this run, unique over all runs
   * @param workspace workspace that pays
   */
  GenerationHandle start(
      String requestId, String workspace, GenerationRequest request, GenerationListener listener);

  /** Goes on with a generation that an earlier owner handed over. */
  GenerationHandle resume(String workspace, String resumeToken, GenerationListener listener);
}
