package org.basilport.daemon.http;

import java.util.List;
import java.util.Objects;

/** JSON data of the server-sent events of a generation. */
public final class StreamEventData {
  private StreamEventData() {}

  /**
   * Data of a {@code token} event.
   *
   * @param offset index of the first token, counted from 0
   * @param tokens texts of consecutive tokens
   */
  public record Tokens(long offset, List<String> tokens) {
    /** Checks that the tokens are present. */
    public Tokens {
      Objects.requireNonNull(tokens, "tokens");
    }
  }

  /**
   * Data of an {@code end} event.
   *
   * @param totalTokens number of tokens of the generation
   * @param reason reason for the end
   */
  public record End(long totalTokens, String reason) {}

  /**
   * Data of a {@code resume} event.
   *
   * @param resumeToken value for Last-Event-ID
   * @param addresses instances at which the caller can resume, best first
   */
  public record Resume(String resumeToken, List<String> addresses) {
    /** Checks that all members are present. */
    public Resume {
      Objects.requireNonNull(resumeToken, "resumeToken");
      Objects.requireNonNull(addresses, "addresses");
    }
  }
}
