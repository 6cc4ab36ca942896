package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/** The answer side of a caller's request; called on the traffic thread. */
public interface ResponseChannel {

  /** Sends a whole answer. */
  void send(int status, HttpHeaders headers, byte[] body);

  /** Sends the head of an answer whose body follows in parts. */
  void startResponse(int status, HttpHeaders headers);

  /** Sends a part of the body; takes over the buffer. */
  void write(ByteBuf content);

  /** Ends an answer whose body was sent in parts. */
  void finishResponse();

  /** Closes the connection, so that an unfinished answer does not look complete. */
  void abort();

  /** Whether the caller reads as fast as parts are written. */
  boolean writable();

  /** Sends a whole answer of the system itself, whose body says why. */
  default void sendReason(int status, HttpHeaders headers, String reason) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    send(status, headers, reason.getBytes(StandardCharsets.UTF_8));
  }
}
