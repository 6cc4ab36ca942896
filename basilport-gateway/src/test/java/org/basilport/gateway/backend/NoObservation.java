package org.basilport.gateway.backend;

import org.basilport.gateway.message.ServerNotice;

/** Listener of a connection of which a test observes the answers only. */
final class NoObservation implements ServerAnswerListener {
  @Override
  public void onNotice(String requestId, ServerNotice notice) {}

  @Override
  public void onProblem(AnswerProblem problem) {}
}
