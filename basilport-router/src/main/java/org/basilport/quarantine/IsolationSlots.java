package org.basilport.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.basilport.misc.Scheduler;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;

/**
 * Table of the isolation slots that this instance grants, each to one holder at a time; safe to use
 * from any thread.
 *
 * <p>A slot that is not renewed expires, so that a dead holder does not block a backend server
 * forever.
 */
public final class IsolationSlots implements IsolationHandler {
  /** Time after which a slot expires without renewal. */
  static final Duration SLOT_LIFETIME = Duration.ofSeconds(30);

  private final Scheduler clock;
  private final Map<String, Slot> slots = new HashMap<>();

  /** Creates a table without holders; only the scheduler's clock is used. */
  public IsolationSlots(Scheduler clock) {
    this.clock = clock;
  }

  @Override
  public synchronized IsolationReply acquire(IsolationRequest request) {
    long now = clock.nanoTime();
    slots.values().removeIf(slot -> slot.expiresNanos - now <= 0);
    Slot current = slots.get(request.getServerId());
    boolean available = current == null || current.holderId.equals(request.getHolderId());
    boolean runsElsewhere =
        slots.values().stream()
            .anyMatch(
                slot ->
                    slot.fingerprint.equals(request.getFingerprint())
                        && !slot.holderId.equals(request.getHolderId()));
    boolean granted = available && !runsElsewhere;
    if (granted) {
      long expires = now + SLOT_LIFETIME.toNanos();
      slots.put(
          request.getServerId(),
          new Slot(request.getHolderId(), request.getFingerprint(), expires));
    }
    return IsolationReply.newBuilder().setGranted(granted).build();
  }

  @Override
  public synchronized IsolationReply release(IsolationRequest request) {
    Slot current = slots.get(request.getServerId());
    boolean held = current != null && current.holderId.equals(request.getHolderId());
    if (held) {
      slots.remove(request.getServerId());
    }
    return IsolationReply.newBuilder().setGranted(held).build();
  }

  /** Returns the fingerprint of the request that holds the slot of a backend server. */
  synchronized Optional<String> holderFingerprint(String serverId) {
    long now = clock.nanoTime();
    return Optional.ofNullable(slots.get(serverId))
        .filter(slot -> slot.expiresNanos - now > 0)
        .map(Slot::fingerprint);
  }

  private record Slot(String holderId, String fingerprint, long expiresNanos) {}
}
