package org.basilport.gateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.basilport.gateway.message.ServerResponse;

/** Receives the response to one request; called on the event loop thread. */
public interface ResponseListener {

  /**
   * Whether a response without a request id must not be taken for the response to this request. On
   * a reused connection it may be a late second response to an earlier request.
   *
   * @param reusedConnection whether the connection has carried an earlier request
   */
  default boolean requiresRequestId(ServerResponse response, boolean reusedConnection) {
    return reusedConnection || (response.successful() && response.signed());
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
