package org.basilport.gateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.basilport.gateway.message.ServerResponse;

/** Receives the answer to one request; called on the traffic thread. */
public interface ResponseListener {

  /** The head of the answer arrived. */
  void onHead(ServerResponse response, HttpResponse head);

  /** A part of the body arrived; the listener does not keep the buffer. */
  void onContent(ByteBuf content);

  /** The whole answer arrived. */
  void onComplete();

  /** The connection ended or sent invalid bytes before the whole answer arrived. */
  void onFailure(String reason);
}
