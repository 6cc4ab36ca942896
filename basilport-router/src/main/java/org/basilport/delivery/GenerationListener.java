package org.basilport.delivery;

import java.util.List;
import org.basilport.error.BasilportException;

/** Receives a generation for a caller; calls are serial, and after the last one none follows. */
public interface GenerationListener {

  /**
   * Receives consecutive tokens.
   *
   * @param offset number of the first token, counted from 0
   * @param resumeToken signed token with which to go on after these tokens
   */
  void onTokens(long offset, List<String> tokens, String resumeToken);

  /** The generation is complete. */
  void onEnd(long totalTokens, String reason);

  /** The instance is leaving; the caller goes on with the token at one of the addresses. */
  void onHandover(String resumeToken, List<String> addresses);

  /** The generation failed; the failure tells whether it ran. */
  void onFailure(BasilportException failure);
}
