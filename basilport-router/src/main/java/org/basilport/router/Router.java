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
 * The router of one instance: everything that its daemon serves.
 *
 * <p>Failures are {@code BasilportException}. Requests take the workspace and its key; a wrong key
 * is refused at step AUTHENTICATE.
 */
public interface Router extends Service {

  /** Tells a caller which instances to use. */
  Location locate(Credentials credentials, String route, String dataCentre);

  /** Starts a generation that the caller reads while it runs. */
  GenerationHandle generate(
      Credentials credentials, GenerationRequest request, GenerationListener listener);

  /** Continues to read a generation after the token that carried the resume token. */
  GenerationHandle resume(Credentials credentials, String resumeToken, GenerationListener listener);

  /** Cancels the generation that a resume token names. */
  CompletableFuture<Boolean> cancel(Credentials credentials, String resumeToken);

  /** Calls a plain service. */
  CompletableFuture<CallResult> call(Credentials credentials, CallRequest request);

  /** Accepts a generation whose result is collected later; returns the id of the job. */
  CompletableFuture<String> submitDeferred(Credentials credentials, GenerationRequest request);

  /** Returns the state of a job, with its result when it is finished. */
  CompletableFuture<DeferredJob> collectDeferred(Credentials credentials, String jobId);

  /** Checks a configuration and accepts it. */
  CompletableFuture<AcceptedConfiguration> applyConfiguration(ConfigurationChange change);

  /** Acceptance and history of configurations. */
  ConfigurationStore configurations();

  /** The configuration in force. */
  ConfigurationView configuration();

  /** Members as this instance sees them. */
  MembershipView membership();

  /** Backend servers as this instance sees them. */
  BackendView backends();

  /** What this instance answers to other instances. */
  PeerClient peerEndpoint();

  /** The latest events of this instance. */
  Timeline timeline();

  /** Whether the instance can serve, and why not. */
  Readiness readiness();

  /** Requests that wait or run, for the drain page. */
  List<String> activeRequests();

  /** Duties and pending orders to engines as this instance sees them. */
  default List<OrderStatus> orders() {
    return List.of();
  }

  /** Starts a graceful shutdown; the result completes when no request is left. */
  CompletableFuture<Void> drain(String reason);
}
