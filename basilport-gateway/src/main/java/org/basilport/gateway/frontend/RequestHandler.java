package org.basilport.gateway.frontend;

import io.netty.handler.codec.http.HttpRequest;
import org.basilport.gateway.forward.ResponseChannel;

/** Handles complete requests of callers. */
public interface RequestHandler {

  /**
   * Handles a request whose response is sent to the given channel. Returns the listener for events
   * of the connection until the response is complete.
   */
  CallerConnectionListener receive(HttpRequest head, byte[] body, ResponseChannel caller);

  /** Whether connections are to be closed after the current response. */
  boolean draining();
}
