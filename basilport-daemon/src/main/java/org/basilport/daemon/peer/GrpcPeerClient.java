package org.basilport.daemon.peer;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.basilport.error.Outcome;
import org.basilport.error.UnavailableException;
import org.basilport.peer.PeerClient;
import org.basilport.peer.PeerFailures;
import org.basilport.protocol.ConfigurationMessage;
import org.basilport.protocol.DrainReply;
import org.basilport.protocol.DrainRequest;
import org.basilport.protocol.FetchConfigurationRequest;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;
import org.basilport.protocol.PeerGrpc;
import org.basilport.protocol.TimelineMessage;
import org.basilport.protocol.TimelineQuery;

/** gRPC client of one instance; each call has a deadline. */
final class GrpcPeerClient implements PeerClient {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration TIMELINE_TIMEOUT = Duration.ofSeconds(5);

  private final String peerAddress;
  private final PeerGrpc.PeerFutureStub stub;

  GrpcPeerClient(String peerAddress, ManagedChannel channel) {
    this.peerAddress = peerAddress;
    this.stub = PeerGrpc.newFutureStub(channel);
  }

  @Override
  public CompletableFuture<GossipMessage> exchange(GossipMessage message) {
    return toCompletableFuture(withTimeout(DEFAULT_TIMEOUT).exchange(message));
  }

  @Override
  public CompletableFuture<ConfigurationMessage> fetchConfiguration(
      FetchConfigurationRequest request) {
    return toCompletableFuture(withTimeout(DEFAULT_TIMEOUT).fetchConfiguration(request));
  }

  @Override
  public CompletableFuture<TimelineMessage> fetchTimeline(TimelineQuery query) {
    return toCompletableFuture(withTimeout(TIMELINE_TIMEOUT).fetchTimeline(query));
  }

  @Override
  public CompletableFuture<IsolationReply> acquireIsolation(IsolationRequest request) {
    return toCompletableFuture(withTimeout(DEFAULT_TIMEOUT).acquireIsolation(request));
  }

  @Override
  public CompletableFuture<IsolationReply> releaseIsolation(IsolationRequest request) {
    return toCompletableFuture(withTimeout(DEFAULT_TIMEOUT).releaseIsolation(request));
  }

  @Override
  public CompletableFuture<DrainReply> drain(DrainRequest request) {
    return toCompletableFuture(withTimeout(DEFAULT_TIMEOUT).drain(request));
  }

  private PeerGrpc.PeerFutureStub withTimeout(Duration timeout) {
    return stub.withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private <T> CompletableFuture<T> toCompletableFuture(ListenableFuture<T> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    Futures.addCallback(
        call,
        new FutureCallback<>() {
          @Override
          public void onSuccess(T value) {
            result.complete(value);
          }

          @Override
          public void onFailure(Throwable failure) {
            result.completeExceptionally(failure(failure));
          }
        },
        MoreExecutors.directExecutor());
    return result;
  }

  private UnavailableException failure(Throwable cause) {
    Status status = Status.fromThrowable(cause);
    // Only a rejected key proves that the call did not run; a lost connection may hide an effect.
    Outcome outcome =
        status.getCode() == Status.Code.UNAUTHENTICATED ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN;
    String message =
        "peer " + peerAddress + ": " + status.getCode() + " " + status.getDescription();
    return PeerFailures.failure(outcome, peerAddress, message, cause);
  }
}
