package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.basilport.gateway.backend.BackendConnection;
import org.basilport.gateway.backend.ResponseListener;
import org.basilport.gateway.message.ServerResponse;

/**
 * Passes on what happens on the connection of one attempt, until the attempt has ended. What
 * arrives later belongs to no attempt of the exchange, even if it carries the id of its request.
 */
final class AttemptListener implements ResponseListener {
  private final Exchange exchange;
  private final BackendConnection connection;

  AttemptListener(Exchange exchange, BackendConnection connection) {
    this.exchange = exchange;
    this.connection = connection;
  }

  private boolean current() {
    return !exchange.finished() && exchange.connection == connection;
  }

  @Override
  public void onHead(ServerResponse response, HttpResponse head) {
    if (current()) {
      exchange.onHead(response, head);
    }
  }

  @Override
  public void onContent(ByteBuf content) {
    if (current()) {
      exchange.onContent(content);
    }
  }

  @Override
  public void onComplete() {
    if (current()) {
      exchange.onComplete();
    }
  }

  @Override
  public void onFailure(String reason) {
    if (current()) {
      exchange.onFailure(reason);
    }
  }
}
