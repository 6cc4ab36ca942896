package org.basilport.cli.client;

import org.basilport.daemon.http.Json;

/**
 * Complete body of a successful response.
 *
 * @param peer address of the instance
 * @param body body of the response
 */
public record InstanceAnswer(String peer, String body) {

  /**
   * Decodes the body. Throws {@code UnavailableException} if it is not the answer to the call; the
   * call may have run.
   */
  public <T> T as(Class<T> type) {
    return Json.readResponse(body, type, peer);
  }
}
