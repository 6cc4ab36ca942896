package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.basilport.gateway.backend.BackendConnection;
import org.basilport.gateway.backend.ResponseListener;
import org.basilport.gateway.message.ServerResponse;
import org.basilport.policy.dispatch.ServerLoad;

/**
 * Passes on what happens on the connection of one attempt, until the attempt has ended. What
 * arrives later belongs to no attempt of the exchange, even if it carries the id of its request.
 */
final class AttemptListener implements ResponseListener {
  private final Exchange exchange;
  private final BackendConnection connection;
  private final ServerLoad server;
  private final long sentNanos = System.nanoTime();
  private boolean timed;

  AttemptListener(Exchange exchange, BackendConnection connection) {
    this.exchange = exchange;
    this.connection = connection;
    this.server = exchange.server.load();
  }

  private Optional<LoadSharing> sharing() {
    return exchange.context.state().loadSharing();
  }

  /** A failed request takes another time than one that succeeds, and a queued one waits. */
  private void recordHead(LoadSharing sharing, ServerResponse response) {
    timed = response.successful() && response.signed();
    sharing.recordHead(server, response);
    if (timed
        && !exchange.dispatcher.placesGenerations()
        && response.queueLength().orElse(0) == 0) {
      sharing.recordTime(server, exchange.route.name(), System.nanoTime() - sentNanos);
    }
  }

  private void recordEnd(LoadSharing sharing) {
    sharing.recordEnd(exchange.dispatcher.service(), System.nanoTime() - sentNanos);
  }

  private boolean current() {
    return !exchange.finished() && exchange.connection == connection;
  }

  @Override
  public void onHead(ServerResponse response, HttpResponse head) {
    if (current()) {
      sharing().ifPresent(sharing -> recordHead(sharing, response));
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
      if (timed) {
        sharing().ifPresent(this::recordEnd);
      }
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
