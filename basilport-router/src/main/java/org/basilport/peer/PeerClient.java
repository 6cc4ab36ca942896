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

/** Calls to one other instance; results fail with {@code UnavailableException} at step PEER. */
public interface PeerClient {

  /** Exchanges membership, backend server views and suspicions. */
  CompletableFuture<GossipMessage> exchange(GossipMessage message);

  /** Fetches a configuration with a larger number than the one in the request. */
  CompletableFuture<ConfigurationMessage> fetchConfiguration(FetchConfigurationRequest request);

  /** Fetches timeline entries. */
  CompletableFuture<TimelineMessage> fetchTimeline(TimelineQuery query);

  /** Asks for the slot in which a suspect request may run on a backend server. */
  CompletableFuture<IsolationReply> acquireIsolation(IsolationRequest request);

  /** Returns the slot. */
  CompletableFuture<IsolationReply> releaseIsolation(IsolationRequest request);

  /** Starts a graceful shutdown of the instance. */
  CompletableFuture<DrainReply> drain(DrainRequest request);
}
