package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/** Sends the response to a caller's request. Confined to the event loop thread. */
public interface ResponseChannel {

  /** Sends a complete response. */
  void send(int status, HttpHeaders headers, byte[] body);

  /** Sends the head of a response whose body is streamed. */
  void startResponse(int status, HttpHeaders headers);

  /** Sends a part of a streamed body and takes ownership of the buffer. */
  void write(ByteBuf content);

  /** Ends a streamed response. */
  void finishResponse();

  /**
   * Resets the connection, so that the caller does not take an incomplete response for a complete
   * one.
   */
  void abort();

  /** Whether the write buffer of the connection is below its high-water mark. */
  boolean isWritable();

  /** Sends a response that the gateway generates itself, with the reason as a plain text body. */
  default void sendReason(int status, HttpHeaders headers, String reason) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    send(status, headers, reason.getBytes(StandardCharsets.UTF_8));
  }
}
