package org.basilport.router;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilport.backend.BackendView;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ConfigurationChange;
import org.basilport.config.ConfigurationStore;
import org.basilport.config.ConfigurationView;
import org.basilport.deferred.DeferredJob;
import org.basilport.delivery.GenerationHandle;
import org.basilport.delivery.GenerationListener;
import org.basilport.delivery.GenerationRequest;
import org.basilport.event.Timeline;
import org.basilport.membership.Location;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Service;
import org.basilport.order.OrderStatus;
import org.basilport.peer.PeerClient;

/**
 * Router of one instance: the operations that its daemon exposes.
 *
 * <p>Operations fail with {@code BasilportException}. Requests carry the workspace and its key; an
 * unknown workspace or a wrong key is rejected at step AUTHENTICATE.
 */
public interface Router extends Service {

  /** Returns the instances that a caller should use, best first. */
  Location locate(Credentials credentials, String route, String dataCentre);

  /** Starts a generation whose tokens are streamed to the listener. */
  GenerationHandle generate(
      Credentials credentials, GenerationRequest request, GenerationListener listener);

  /** Resumes the stream of a generation after the position that the resume token records. */
  GenerationHandle resume(Credentials credentials, String resumeToken, GenerationListener listener);

  /** Cancels the generation of a resume token. */
  CompletableFuture<Boolean> cancel(Credentials credentials, String resumeToken);

  /** Calls an application service. */
  CompletableFuture<CallResult> call(Credentials credentials, CallRequest request);

  /** Submits a generation whose result is collected later; returns the id of the job. */
  CompletableFuture<String> submitDeferred(Credentials credentials, GenerationRequest request);

  /** Returns the state of a job and, once it has finished, its result. */
  CompletableFuture<DeferredJob> collectDeferred(Credentials credentials, String jobId);

  /** Validates, accepts and applies a configuration. */
  CompletableFuture<AcceptedConfiguration> applyConfiguration(ConfigurationChange change);

  /** Returns the store that accepts configurations and keeps their history. */
  ConfigurationStore configurations();

  /** Returns a view of the current configuration. */
  ConfigurationView configuration();

  /** Returns the members as seen by this instance. */
  MembershipView membership();

  /** Returns the backend servers as seen by this instance. */
  BackendView backends();

  /** Returns the endpoint that handles calls from other instances. */
  PeerClient peerEndpoint();

  /** Returns the latest events of this instance. */
  Timeline timeline();

  /** Returns whether the instance can serve and, if not, why. */
  Readiness readiness();

  /** Returns the ids of queued and running requests, as shown on the drain page. */
  List<String> activeRequests();

  /** Returns the leader leases and pending engine orders as seen by this instance. */
  default List<OrderStatus> orders() {
    return List.of();
  }

  /** Starts a graceful shutdown; the result completes when no requests remain. */
  CompletableFuture<Void> drain(String reason);
}
