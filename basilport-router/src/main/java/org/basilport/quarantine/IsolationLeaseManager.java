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

/** Acquires, renews and releases isolation slots from the instances that own them. */
public final class IsolationLeaseManager {
  private static final Duration RENEWAL_INTERVAL = IsolationSlots.SLOT_LIFETIME.dividedBy(3);

  private final String instanceId;
  private final MembershipView membership;
  private final PeerConnector peers;
  private final IsolationHandler localSlots;
  private final Scheduler scheduler;

  /**
   * Creates a manager.
   *
   * @param localSlots grants the slots that this instance owns
   * @param scheduler runs the renewals
   */
  public IsolationLeaseManager(
      String instanceId,
      MembershipView membership,
      PeerConnector peers,
      IsolationHandler localSlots,
      Scheduler scheduler) {
    this.instanceId = instanceId;
    this.membership = membership;
    this.peers = peers;
    this.localSlots = localSlots;
    this.scheduler = scheduler;
  }

  /**
   * Acquires the slot of the fingerprint and then that of the backend server. The result is empty
   * if either slot is taken or its owner cannot be reached.
   */
  public CompletableFuture<Optional<IsolationLease>> acquire(
      String fingerprint, String serverId, String holderId) {
    IsolationRequest fingerprintSlot = request("fingerprint/" + fingerprint, fingerprint, holderId);
    IsolationRequest serverSlot = request(serverId, fingerprint, holderId);
    return acquireSlot(fingerprintSlot)
        .thenCompose(
            fingerprintGranted -> {
              if (!fingerprintGranted) {
                return CompletableFuture.completedFuture(Optional.empty());
              }
              return acquireSlot(serverSlot)
                  .thenApply(serverGranted -> newLease(fingerprintSlot, serverSlot, serverGranted));
            });
  }

  private Optional<IsolationLease> newLease(
      IsolationRequest fingerprintSlot, IsolationRequest serverSlot, boolean granted) {
    if (!granted) {
      releaseSlot(fingerprintSlot);
      return Optional.empty();
    }
    Cancellable renewal =
        scheduler.scheduleRepeating(
            RENEWAL_INTERVAL,
            () -> {
              acquireSlot(fingerprintSlot);
              acquireSlot(serverSlot);
            });
    return Optional.of(new HeldLease(fingerprintSlot, serverSlot, renewal));
  }

  private CompletableFuture<Boolean> acquireSlot(IsolationRequest request) {
    Optional<Member> owner = membership.owner(request.getServerId());
    if (owner.isEmpty() || isSelf(owner.get())) {
      boolean granted = majorityAlive() && localSlots.acquire(request).getGranted();
      return CompletableFuture.completedFuture(granted);
    }
    return peer(owner.get())
        .acquireIsolation(request)
        .thenApply(IsolationReply::getGranted)
        .exceptionally(failure -> false);
  }

  /**
   * Returns whether a majority of the members is alive. On the minority side of a partition an
   * instance would consider itself the owner of every slot, while the other side grants the same
   * slots.
   */
  private boolean majorityAlive() {
    List<Member> members =
        membership.members().stream().filter(m -> m.status() != MemberStatus.LEFT).toList();
    long alive = members.stream().filter(m -> m.health() == MemberHealth.ALIVE).count();
    return 2 * alive > members.size();
  }

  private void releaseSlot(IsolationRequest request) {
    Optional<Member> owner = membership.owner(request.getServerId());
    if (owner.isEmpty() || isSelf(owner.get())) {
      localSlots.release(request);
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

  /** Returns a request for a slot, whose name is sent as the server id. */
  private IsolationRequest request(String slotName, String fingerprint, String holderId) {
    return IsolationRequest.newBuilder()
        .setSenderId(instanceId)
        .setServerId(slotName)
        .setFingerprint(fingerprint)
        .setHolderId(holderId)
        .build();
  }

  /** A lease of two granted slots, renewed until it ends. */
  private final class HeldLease implements IsolationLease {
    private final IsolationRequest fingerprintSlot;
    private final IsolationRequest serverSlot;
    private final Cancellable renewal;
    private boolean ended;

    HeldLease(IsolationRequest fingerprintSlot, IsolationRequest serverSlot, Cancellable renewal) {
      this.fingerprintSlot = fingerprintSlot;
      this.serverSlot = serverSlot;
      this.renewal = renewal;
    }

    @Override
    public void release() {
      if (end()) {
        releaseSlot(fingerprintSlot);
      }
    }

    @Override
    public void releaseServerSlot() {
      end();
    }

    private synchronized boolean end() {
      if (ended) {
        return false;
      }
      ended = true;
      renewal.cancel();
      releaseSlot(serverSlot);
      return true;
    }
  }
}
