package org.basilport.engine.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenFrame;

/**
 * JSON data of an event of a completion stream, in the format of OpenAI-compatible engines,
 * extended by generation id, offset and the texts of the individual tokens.
 *
 * @param id id of the generation
 * @param object always "text_completion"
 * @param offset index of the first token
 * @param tokens token texts, empty in the final event
 * @param choices one choice with the joined text and the finish reason
 * @param usage token counts, in the final event only
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record CompletionChunk(
    String id, String object, long offset, List<String> tokens, List<Choice> choices, Usage usage) {
  private static final String OBJECT = "text_completion";

  /** Creates an event with tokens. */
  public static CompletionChunk of(TokenFrame frame) {
    Choice choice = new Choice(0, String.join("", frame.tokens()), null);
    return new CompletionChunk(
        frame.generationId(), OBJECT, frame.offset(), frame.tokens(), List.of(choice), null);
  }

  /** Creates the final event of a generation. */
  public static CompletionChunk of(GenerationEnd end) {
    Choice choice = new Choice(0, "", end.reason().name().toLowerCase(Locale.ROOT));
    Usage usage = new Usage(end.totalTokens());
    return new CompletionChunk(
        end.generationId(), OBJECT, end.totalTokens(), List.of(), List.of(choice), usage);
  }

  /** Returns the tokens of this event. */
  public TokenFrame toFrame() {
    return new TokenFrame(id, offset, tokens);
  }

  /** Returns whether the event has the fields of a token frame or of an end. */
  boolean isComplete() {
    return id != null && (toEnd().isPresent() || (tokens != null && !tokens.isEmpty()));
  }

  /**
   * Returns the end of the generation if this is the final event; an unknown finish reason counts
   * as STOP.
   */
  public Optional<GenerationEnd> toEnd() {
    if (choices == null || choices.isEmpty() || choices.get(0).finishReason() == null) {
      return Optional.empty();
    }
    String reasonName = choices.get(0).finishReason().toUpperCase(Locale.ROOT);
    GenerationEnd.Reason reason =
        Arrays.stream(GenerationEnd.Reason.values())
            .filter(known -> known.name().equals(reasonName))
            .findFirst()
            .orElse(GenerationEnd.Reason.STOP);
    long total = usage == null ? offset : usage.completionTokens();
    return Optional.of(new GenerationEnd(id, total, reason));
  }

  /**
   * A choice of a completion.
   *
   * @param index always 0
   * @param text joined text of the tokens
   * @param finishReason "stop", "length" or "cancelled" in the final event, otherwise null
   */
  @JsonInclude(JsonInclude.Include.ALWAYS)
  public record Choice(
      int index, String text, @JsonProperty("finish_reason") String finishReason) {}

  /**
   * Token counts of a completion.
   *
   * @param completionTokens number of generated tokens
   */
  public record Usage(@JsonProperty("completion_tokens") long completionTokens) {}
}
