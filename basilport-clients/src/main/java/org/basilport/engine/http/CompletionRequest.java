package org.basilport.engine.http;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.basilport.engine.EngineRequest;

/**
 * JSON body of a completion request, in the form that OpenAI-compatible engines use, with the
 * generation id and the priority.
 *
 * @param prompt text of the prompt
 * @param maxTokens largest number of tokens
 * @param stream always true
 * @param user workspace that pays
 * @param generationId id of the attempt
 * @param priority larger values are preempted later
 */
public record CompletionRequest(
    String prompt,
    @JsonProperty("max_tokens") int maxTokens,
    boolean stream,
    String user,
    @JsonProperty("generation_id") String generationId,
    int priority) {

  /** The body for a request. */
  public static CompletionRequest of(EngineRequest request) {
    return new CompletionRequest(
        request.prompt(),
        request.maxTokens(),
        true,
        request.workspace(),
        request.generationId(),
        request.priority());
  }

  /** The request in this body. */
  public EngineRequest toEngineRequest() {
    return new EngineRequest(generationId, user, prompt, maxTokens, priority);
  }
}
