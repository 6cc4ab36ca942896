package org.basilport.daemon.http;

import java.util.List;

/** JSON data of the server-sent events of a generation. */
public final class StreamEventData {
  private StreamEventData() {}

  /**
   * Data of a {@code token} event.
   *
   * @param offset index of the first token, counted from 0
   * @param tokens texts of consecutive tokens
   */
  public record Tokens(long offset, List<String> tokens) {}

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
  public record Resume(String resumeToken, List<String> addresses) {}
}
