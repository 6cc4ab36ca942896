package org.basilport.deferred;

/**
 * A stored job without a result.
 *
 * @param id id of the job
 * @param workspace workspace of the job
 * @param route route of the generation
 * @param prompt text of the prompt
 * @param maxTokens maximum number of tokens to generate
 * @param resumeToken token of a generation that an earlier owner handed over, otherwise empty
 */
record JobRecord(
    String id, String workspace, String route, String prompt, int maxTokens, String resumeToken) {
  JobRecord withResumeToken(String token) {
    return new JobRecord(id, workspace, route, prompt, maxTokens, token);
  }
}
