package org.basilport.gateway.backend;

import org.basilport.gateway.message.ServerNotice;

/** Receives what a backend server says of itself in its answers. */
@FunctionalInterface
interface ServerNoticeListener {

  /**
   * Called for the head of each final answer, before the listener of the request. For interim
   * answers and those to other requests, it is called only if the server announces something.
   *
   * @param requestId id of the request that the server answers
   */
  void onNotice(String requestId, ServerNotice notice);
}
