package org.basilport.gateway.backend;

import org.basilport.gateway.message.ServerNotice;

/** Receives what the answers of a backend server tell beside the answers themselves. */
interface ServerAnswerListener {

  /**
   * Called for the head of each final answer, before the listener of the request. For interim
   * answers and those to other requests, it is called only if the server announces something.
   *
   * @param requestId id of the request that the server answers
   */
  void onNotice(String requestId, ServerNotice notice);

  /** Called when a connection is closed because of the bytes that were received on it. */
  void onProblem(AnswerProblem problem);
}
