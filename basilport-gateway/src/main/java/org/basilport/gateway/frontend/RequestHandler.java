package org.basilport.gateway.frontend;

import io.netty.handler.codec.http.HttpRequest;
import org.basilport.gateway.forward.ResponseChannel;

/** Takes complete requests of callers. */
public interface RequestHandler {

  /** Handles a request; the answer goes to the channel. */
  CallerConnectionListener receive(HttpRequest head, byte[] body, ResponseChannel caller);

  /** Whether connections should be closed after the present answer. */
  boolean draining();
}
