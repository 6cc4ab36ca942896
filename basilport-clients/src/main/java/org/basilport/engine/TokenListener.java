package org.basilport.engine;

import org.basilport.error.BasilportException;

/** Receives the tokens of a generation. Calls are serialized; none follows an end or a failure. */
public interface TokenListener {

  /** Receives the next tokens; never called for more frames than were requested. */
  void onTokens(TokenFrame frame);

  /** Called when the generation has ended and all its tokens were delivered. */
  void onEnd(GenerationEnd end);

  /** Called when the connection or the engine failed. */
  void onFailure(BasilportException failure);
}
