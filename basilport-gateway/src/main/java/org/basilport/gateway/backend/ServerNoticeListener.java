package org.basilport.gateway.backend;

import org.basilport.gateway.message.ServerNotice;

/** Receives what a backend server says of itself in its answers. */
@FunctionalInterface
interface ServerNoticeListener {

  /**
   * Called for the head of each answer, before the listener of the request.
   *
   * @param requestId id of the request that the server answers
   */
  void onNotice(String requestId, ServerNotice notice);
}
