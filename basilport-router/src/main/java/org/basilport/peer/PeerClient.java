package org.basilport.peer;

import java.util.concurrent.CompletableFuture;
import org.basilport.protocol.ConfigurationMessage;
import org.basilport.protocol.DrainReply;
import org.basilport.protocol.DrainRequest;
import org.basilport.protocol.FetchConfigurationRequest;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;
import org.basilport.protocol.TimelineMessage;
import org.basilport.protocol.TimelineQuery;

/** Client of another instance; results fail with {@code UnavailableException} at step PEER. */
public interface PeerClient {

  /** Exchanges membership, backend server views and suspicions. */
  CompletableFuture<GossipMessage> exchange(GossipMessage message);

  /** Fetches the configuration of the peer if its number is larger than the one in the request. */
  CompletableFuture<ConfigurationMessage> fetchConfiguration(FetchConfigurationRequest request);

  /** Fetches timeline entries. */
  CompletableFuture<TimelineMessage> fetchTimeline(TimelineQuery query);

  /** Requests the slot that lets a suspect request run in isolation on a backend server. */
  CompletableFuture<IsolationReply> acquireIsolation(IsolationRequest request);

  /** Releases the slot of a suspect request. */
  CompletableFuture<IsolationReply> releaseIsolation(IsolationRequest request);

  /** Starts a graceful shutdown of the instance. */
  CompletableFuture<DrainReply> drain(DrainRequest request);
}
