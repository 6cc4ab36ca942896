package org.basilport.gateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.basilport.gateway.message.ServerResponse;

/** Receives the response to one request; called on the event loop thread. */
public interface ResponseListener {

  /** Whether the response carries the id of the request, by which it is told from a late one. */
  default boolean identified() {
    return true;
  }

  /** Called when the head of the response was received. */
  void onHead(ServerResponse response, HttpResponse head);

  /** Called for each received part of the body. The buffer is valid only during the call. */
  void onContent(ByteBuf content);

  /** Called when the response is complete. */
  void onComplete();

  /** Called when the connection was closed or invalid before the response was complete. */
  void onFailure(String reason);
}
