package org.basilport.engine;

import org.basilport.error.BasilportException;

/** Receives a generation; calls are serial, and after an end or a failure none follows. */
public interface TokenListener {

  /** Receives tokens, never more frames than were requested. */
  void onTokens(TokenFrame frame);

  /** The generation ended, and all its tokens were passed on. */
  void onEnd(GenerationEnd end);

  /** The connection or the engine failed. */
  void onFailure(BasilportException failure);
}
