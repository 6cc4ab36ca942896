package org.basilport.delivery;

import java.util.List;
import org.basilport.error.BasilportException;

/** Receives the tokens of a generation; calls are serial, and none follows a terminal call. */
public interface GenerationListener {

  /**
   * Called with consecutive tokens.
   *
   * @param offset index of the first token, from 0
   * @param resumeToken signed token with which to resume after these tokens
   */
  void onTokens(long offset, List<String> tokens, String resumeToken);

  /** Terminal: the generation is complete. */
  void onEnd(long totalTokens, String reason);

  /** Terminal: the instance is leaving; the caller can resume at one of the addresses. */
  void onHandover(String resumeToken, List<String> addresses);

  /** Terminal: the generation failed; the failure's outcome says whether it may have run. */
  void onFailure(BasilportException failure);
}
