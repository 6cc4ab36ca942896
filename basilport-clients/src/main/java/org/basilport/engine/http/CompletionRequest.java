package org.basilport.engine.http;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.basilport.engine.EngineRequest;

/**
 * JSON body of a completion request, in the format of OpenAI-compatible engines, extended by
 * generation id and priority.
 *
 * @param prompt text of the prompt
 * @param maxTokens maximum number of tokens to generate
 * @param stream always true
 * @param user workspace that the generation is charged to
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

  /** Creates the body of an engine request. */
  public static CompletionRequest of(EngineRequest request) {
    return new CompletionRequest(
        request.prompt(),
        request.maxTokens(),
        true,
        request.workspace(),
        request.generationId(),
        request.priority());
  }

  /** Returns the engine request in this body. */
  public EngineRequest toEngineRequest() {
    return new EngineRequest(generationId, user, prompt, maxTokens, priority);
  }
}
