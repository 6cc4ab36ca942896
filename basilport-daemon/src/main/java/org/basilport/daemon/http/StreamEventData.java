package org.basilport.daemon.http;

import java.util.List;

/** The JSON data of the events of a stream. */
public final class StreamEventData {
  private StreamEventData() {}

  /**
   * Data of a {@code token} event.
   *
   * @param offset number of the first token, counted from 0
   * @param tokens texts of consecutive tokens
   */
  public record Tokens(long offset, List<String> tokens) {}

  /**
   * Data of an {@code end} event.
   *
   * @param totalTokens number of tokens of the generation
   * @param reason why it ended
   */
  public record End(long totalTokens, String reason) {}

  /**
   * Data of a {@code resume} event.
   *
   * @param resumeToken value for Last-Event-ID
   * @param addresses instances at which the caller goes on, best first
   */
  public record Resume(String resumeToken, List<String> addresses) {}
}
