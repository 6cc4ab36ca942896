package org.basilport.gateway.message;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translates between typed messages and the header names and calls of a deployment. */
public interface MessageCodec {

  /**
   * Reads a request of a caller.
   *
   * @throws MalformedMessageException when a header that the system needs cannot be read
   */
  CallerRequest decodeRequest(HttpRequest head, byte[] body);

  /** Writes a request for a backend server; method, target and body are the caller's. */
  FullHttpRequest encodeRequest(
      CallerRequest request, ForwardingDetails details, String serverAddress);

  /** Reads the head of a backend server's answer. */
  ServerResponse decodeResponse(HttpResponse head);

  /** Returns the headers of a backend server's answer that its caller gets. */
  HttpHeaders responseHeaders(HttpResponse head);

  /** Writes the header that tells a caller when to come back, with fractions of a second. */
  void addRetryAfter(HttpHeaders headers, double seconds);

  /**
   * Writes the order to copy a generation's memory to another engine.
   *
   * @param last whether the generation stops at its present engine
   */
  FullHttpRequest encodeMoveRequest(
      String generationId, String targetAddress, boolean finalCopy, String serverAddress);

  /** Reads the answer to an order to move a generation. */
  MoveResult decodeMoveResult(int status, byte[] body);
}
