package org.basilport.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;

/**
 * Receives one response. Calls come from the event loop of the connection; none follows an end or a
 * failure.
 */
public interface ResponseReceiver {

  /** Called with the head of the response; heads of interim responses are left out. */
  void onHead(int status, HttpHeaders headers);

  /**
   * Called with a part of the body, which is released after the call.
   *
   * @throws IOException if the body cannot be accepted; the response fails with this exception
   */
  void onContent(ByteBuf content) throws IOException;

  /** Called when the response was received to its end. */
  void onEnd();

  /**
   * Called when there will be no complete response.
   *
   * @param cause failure, which {@link HttpTransport#outcomeOf} classifies
   */
  void onFailure(Throwable cause);
}
