package org.basilport.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;

/** Supplies connections that carry one request at a time. */
interface ConnectionSource {

  /**
   * Supplies a connection whose pipeline encodes requests.
   *
   * @param eventLoop event loop of the connection
   * @param peer unresolved address of the server
   */
  Future<Channel> acquire(EventLoop eventLoop, InetSocketAddress peer);

  /** Whether a connection may carry another request after it was released. */
  boolean reusesConnections();

  /** Takes back a connection; one that may not carry another request was closed before. */
  void release(Channel channel);

  /** Closes the connections that carry no request. */
  void close();
}
