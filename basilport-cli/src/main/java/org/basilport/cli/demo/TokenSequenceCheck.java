package org.basilport.cli.demo;

import java.util.List;
import org.basilport.cli.client.TokenConsumer;

/** Checks that each token of a generation arrives once and in order. */
final class TokenSequenceCheck implements TokenConsumer {
  private final Runnable onFirstToken;
  private long nextOffset;
  private boolean inOrder = true;

  /** Creates a check that runs an action once, after the first tokens. */
  TokenSequenceCheck(Runnable onFirstToken) {
    this.onFirstToken = onFirstToken;
  }

  @Override
  public void onTokens(long offset, List<String> tokens) {
    boolean first = nextOffset == 0;
    inOrder &= offset == nextOffset;
    nextOffset = offset + tokens.size();
    if (first) {
      onFirstToken.run();
    }
  }

  boolean isComplete(long totalTokens) {
    return inOrder && nextOffset == totalTokens;
  }
}
