package org.basilport.http;

/** Controls the reading of a response. Called on the event loop of the connection only. */
public interface ResponseStream {

  /** Requests the next part of the body, or its end. */
  void requestContent();

  /**
   * Stops reading; the receiver is not called again. The request is sent in any case: the
   * connection is closed when the head of the response was received.
   */
  void close();
}
