package org.basilport.policy.dispatch;

import java.util.List;

/**
 * Identity of what a request consists of, by which crashes of servers are attributed.
 *
 * @param fingerprint hash of the whole content, which is the same for all attempts of a caller
 * @param promptParts hashes of the parts of the prompt that other requests may share, in order
 */
public record RequestContent(long fingerprint, List<Long> promptParts) {
  /** Copies the parts. */
  public RequestContent {
    promptParts = List.copyOf(promptParts);
  }
}
