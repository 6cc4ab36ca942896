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
 * JSON data of an event of a completion stream, in the form that OpenAI-compatible engines use,
 * with generation id, offset and the texts of the single tokens.
 *
 * @param id generation that the tokens belong to
 * @param object always "text_completion"
 * @param offset number of the first token
 * @param tokens texts of the tokens, empty at the end
 * @param choices one choice with the joined text and the reason of the end
 * @param usage number of tokens, at the end only
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record CompletionChunk(
    String id, String object, long offset, List<String> tokens, List<Choice> choices, Usage usage) {
  private static final String OBJECT = "text_completion";

  /** Event that carries tokens. */
  public static CompletionChunk of(TokenFrame frame) {
    Choice choice = new Choice(0, String.join("", frame.tokens()), null);
    return new CompletionChunk(
        frame.generationId(), OBJECT, frame.offset(), frame.tokens(), List.of(choice), null);
  }

  /** Event that ends a generation. */
  public static CompletionChunk of(GenerationEnd end) {
    Choice choice = new Choice(0, "", end.reason().name().toLowerCase(Locale.ROOT));
    Usage usage = new Usage(end.totalTokens());
    return new CompletionChunk(
        end.generationId(), OBJECT, end.totalTokens(), List.of(), List.of(choice), usage);
  }

  /** The tokens of this event. */
  public TokenFrame toFrame() {
    return new TokenFrame(id, offset, tokens);
  }

  /** Whether the event has what a frame or an end needs. */
  boolean isComplete() {
    return id != null && (toEnd().isPresent() || (tokens != null && !tokens.isEmpty()));
  }

  /** The end that this event states; a reason of another engine counts as STOP. */
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
   * @param finishReason "stop", "length" or "cancelled" at the end, else null
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
