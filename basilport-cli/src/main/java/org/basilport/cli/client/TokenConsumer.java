package org.basilport.cli.client;

import java.util.List;

/** Receives the tokens of a generation in order, and learns of changes of the instance. */
public interface TokenConsumer {
  /**
   * Receives consecutive tokens.
   *
   * @param offset number of the first token, counted from 0
   */
  void onTokens(long offset, List<String> tokens);

  /** The stream continues at another instance. */
  default void onReconnect(String address) {}
}
