package org.basilport.cli.client;

import java.util.List;

/** Receives the tokens of a generation in order and is notified of reconnects. */
public interface TokenConsumer {
  /**
   * Receives consecutive tokens.
   *
   * @param offset index of the first token, counted from 0
   */
  void onTokens(long offset, List<String> tokens);

  /** Called when the stream continues at an instance, on a new connection. */
  default void onReconnect(String address) {}
}
