package org.basilport.deferred;

import org.basilport.delivery.GenerationHandle;
import org.basilport.delivery.GenerationListener;

/** Starts the generation of a job under the configuration in force. */
@FunctionalInterface
public interface JobStarter {
  /**
   * Starts a generation.
   *
   * @param requestId id of this run, unique over all runs
   * @param workspace workspace that pays
   * @param route route of the generation
   * @param prompt text of the prompt
   * @param maxTokens largest number of tokens to generate
   */
  GenerationHandle start(
      String requestId,
      String workspace,
      String route,
      String prompt,
      int maxTokens,
      GenerationListener listener);
}
