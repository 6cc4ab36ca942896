package org.basilport.quarantine;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.membership.Member;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.peer.PeerClient;
import org.basilport.peer.PeerConnector;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;

/** Asks the owners of slots, on this instance or another one, to let a suspect request run. */
public final class IsolationGate {
  private static final Duration RENEWAL = IsolationSlots.LIFETIME.dividedBy(3);

  private final String instanceId;
  private final MembershipView membership;
  private final PeerConnector peers;
  private final IsolationHandler local;
  private final Scheduler scheduler;

  /**
   * Creates a gate.
   *
   * @param local grants the slots that this instance owns
   * @param scheduler renews slots that are held
   */
  public IsolationGate(
      String instanceId,
      MembershipView membership,
      PeerConnector peers,
      IsolationHandler local,
      Scheduler scheduler) {
    this.instanceId = instanceId;
    this.membership = membership;
    this.peers = peers;
    this.local = local;
    this.scheduler = scheduler;
  }

  /**
   * Acquires the slot of the fingerprint and then that of the backend server. The result holds what
   * frees both, and is empty when one of them is taken or its owner cannot be reached.
   */
  public CompletableFuture<Optional<Cancellable>> acquire(
      String fingerprint, String serverId, String holderId) {
    IsolationRequest flight = request("fingerprint/" + fingerprint, fingerprint, holderId);
    IsolationRequest server = request(serverId, fingerprint, holderId);
    return ask(flight)
        .thenCompose(
            first -> {
              if (!first) {
                return CompletableFuture.completedFuture(Optional.empty());
              }
              return ask(server).thenApply(second -> hold(flight, server, second));
            });
  }

  private Optional<Cancellable> hold(
      IsolationRequest flight, IsolationRequest server, boolean granted) {
    if (!granted) {
      free(flight);
      return Optional.empty();
    }
    Cancellable renewal =
        scheduler.scheduleRepeating(
            RENEWAL,
            () -> {
              ask(flight);
              ask(server);
            });
    return Optional.of(
        () -> {
          renewal.cancel();
          free(server);
          free(flight);
        });
  }

  private CompletableFuture<Boolean> ask(IsolationRequest request) {
    Optional<Member> owner = membership.owner(request.getServerId());
    if (owner.isEmpty() || isSelf(owner.get())) {
      return CompletableFuture.completedFuture(local.acquire(request).getGranted());
    }
    return peer(owner.get())
        .acquireIsolation(request)
        .thenApply(IsolationReply::getGranted)
        .exceptionally(failure -> false);
  }

  private void free(IsolationRequest request) {
    Optional<Member> owner = membership.owner(request.getServerId());
    if (owner.isEmpty() || isSelf(owner.get())) {
      local.release(request);
    } else {
      peer(owner.get()).releaseIsolation(request);
    }
  }

  private PeerClient peer(Member owner) {
    return peers.connect(owner.peerAddress());
  }

  private boolean isSelf(Member owner) {
    return owner.id().equals(instanceId);
  }

  private IsolationRequest request(String serverId, String fingerprint, String holderId) {
    return IsolationRequest.newBuilder()
        .setSenderId(instanceId)
        .setServerId(serverId)
        .setFingerprint(fingerprint)
        .setHolderId(holderId)
        .build();
  }
}
