package org.basilport.gateway.frontend;

import io.netty.handler.codec.http.HttpRequest;
import org.basilport.gateway.forward.CallerChannel;

/** Takes complete requests of callers. */
public interface RequestReceiver {

  /** Handles a request; the answer goes to the channel. */
  CallerHandle receive(HttpRequest head, byte[] body, CallerChannel caller);

  /** Whether connections should be closed after the present answer. */
  boolean draining();
}
