package org.basilport.gateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.basilport.gateway.message.ServerAnswer;

/** Receives the answer to one request; called on the traffic thread. */
public interface AnswerListener {

  /** The head of the answer arrived. */
  void onHead(ServerAnswer answer, HttpResponse head);

  /** A part of the body arrived; the listener does not keep the buffer. */
  void onContent(ByteBuf content);

  /** The whole answer arrived. */
  void onComplete();

  /** The connection ended or sent invalid bytes before the whole answer arrived. */
  void onBroken(String reason);
}
