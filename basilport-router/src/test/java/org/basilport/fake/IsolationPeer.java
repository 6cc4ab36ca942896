package org.basilport.fake;

import java.util.concurrent.CompletableFuture;
import org.basilport.peer.PeerClient;
import org.basilport.protocol.ConfigurationMessage;
import org.basilport.protocol.DrainReply;
import org.basilport.protocol.DrainRequest;
import org.basilport.protocol.FetchConfigurationRequest;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;
import org.basilport.protocol.TimelineMessage;
import org.basilport.protocol.TimelineQuery;
import org.basilport.quarantine.IsolationHandler;

/** Peer client that supports only isolation requests. */
record IsolationPeer(IsolationHandler handler) implements PeerClient {
  @Override
  public CompletableFuture<GossipMessage> exchange(GossipMessage message) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<ConfigurationMessage> fetchConfiguration(
      FetchConfigurationRequest request) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<TimelineMessage> fetchTimeline(TimelineQuery query) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<IsolationReply> acquireIsolation(IsolationRequest request) {
    return CompletableFuture.completedFuture(handler.acquire(request));
  }

  @Override
  public CompletableFuture<IsolationReply> releaseIsolation(IsolationRequest request) {
    return CompletableFuture.completedFuture(handler.release(request));
  }

  @Override
  public CompletableFuture<DrainReply> drain(DrainRequest request) {
    throw new UnsupportedOperationException();
  }
}
