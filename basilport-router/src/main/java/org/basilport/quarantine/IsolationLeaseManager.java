package org.basilport.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.membership.Member;
import org.basilport.membership.MemberHealth;
import org.basilport.membership.MemberStatus;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.peer.PeerClient;
import org.basilport.peer.PeerConnector;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;

/** Asks the owners of slots, on this instance or another one, to let a suspect request run. */
public final class IsolationLeaseManager {
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
  public IsolationLeaseManager(
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
  public CompletableFuture<Optional<IsolationLease>> acquire(
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

  private Optional<IsolationLease> hold(
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
    return Optional.of(new HeldLease(flight, server, renewal));
  }

  private CompletableFuture<Boolean> ask(IsolationRequest request) {
    Optional<Member> owner = membership.owner(request.getServerId());
    if (owner.isEmpty() || isSelf(owner.get())) {
      boolean granted = inContact() && local.acquire(request).getGranted();
      return CompletableFuture.completedFuture(granted);
    }
    return peer(owner.get())
        .acquireIsolation(request)
        .thenApply(IsolationReply::getGranted)
        .exceptionally(failure -> false);
  }

  /**
   * Whether most members answer. Behind a partition an instance takes itself for the owner of every
   * slot, while the instances on the other side grant the same slots to others.
   */
  private boolean inContact() {
    List<Member> members =
        membership.members().stream().filter(m -> m.status() != MemberStatus.LEFT).toList();
    long alive = members.stream().filter(m -> m.health() == MemberHealth.ALIVE).count();
    return 2 * alive > members.size();
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

  /** Slots that were granted. */
  private final class HeldLease implements IsolationLease {
    private final IsolationRequest flight;
    private final IsolationRequest server;
    private final Cancellable renewal;
    private boolean ended;

    HeldLease(IsolationRequest flight, IsolationRequest server, Cancellable renewal) {
      this.flight = flight;
      this.server = server;
      this.renewal = renewal;
    }

    @Override
    public void release() {
      if (end()) {
        free(flight);
      }
    }

    @Override
    public void lapse() {
      end();
    }

    private synchronized boolean end() {
      if (ended) {
        return false;
      }
      ended = true;
      renewal.cancel();
      free(server);
      return true;
    }
  }
}
