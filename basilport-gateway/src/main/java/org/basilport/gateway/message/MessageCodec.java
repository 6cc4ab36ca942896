package org.basilport.gateway.message;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.AsciiString;

/** Translates between typed messages and the HTTP messages of a deployment. */
public interface MessageCodec {

  /**
   * Decodes a request of a caller.
   *
   * @throws MalformedMessageException if a required header is missing or invalid
   */
  CallerRequest decodeRequest(HttpRequest head, byte[] body);

  /**
   * Encodes a request for a backend server with the method, target and body of the caller's
   * request.
   */
  FullHttpRequest encodeRequest(
      CallerRequest request, ForwardingDetails details, String serverAddress);

  /** Name of the header in which a backend server's response names the request that it answers. */
  AsciiString requestIdHeader();

  /** Decodes the head of a backend server's response. */
  ServerResponse decodeResponse(HttpResponse head);

  /** Returns the headers of a backend server's response that are forwarded to the caller. */
  HttpHeaders responseHeaders(HttpResponse head);

  /** Sets the Retry-After header, with fractions of a second. */
  void addRetryAfter(HttpHeaders headers, double seconds);

  /**
   * Encodes the request to copy the KV cache of a generation to another engine.
   *
   * @param finalCopy whether the current engine stops the generation
   */
  FullHttpRequest encodeMoveRequest(
      String generationId, String targetAddress, boolean finalCopy, String serverAddress);

  /** Decodes the response to a request to move a generation. */
  MoveResult decodeMoveResult(int status, byte[] body);
}
