package org.basilport.policy.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether, and from when on, a server takes new requests of this instance: for a server
 * that leaves, whose data centre is evacuated, that asked for a pause, that names a limit, or that
 * is suspended for its failures.
 */
public final class ServerAdmission {
  /** Whether a request may be placed at a server, and what prevents it. */
  public enum State {
    /** Requests may be placed. */
    OPEN,
    /** Requests are placed only if most servers are in this state: failures suspended it. */
    SUSPENDED,
    /** The limit that the server names permits no request now. */
    LIMITED,
    /** The server wants no requests now, or has not answered the first one after its pause. */
    PAUSED,
    /** Nothing is sent to the data centre of the server until it is restored. */
    EVACUATED,
    /** The server is leaving and never takes requests again. */
    LEAVING
  }

  private final ServerHealth health = new ServerHealth();
  private final ServerPause pause = new ServerPause();
  private Optional<SharedRateLimit> rateLimit = Optional.empty();
  private boolean leaving;
  private boolean evacuated;

  /** What applies to the server now; of several, the one that ends last. */
  public State state(long nowNanos) {
    if (leaving) {
      return State.LEAVING;
    }
    if (evacuated) {
      return State.EVACUATED;
    }
    if (!pause.permits(nowNanos)) {
      return State.PAUSED;
    }
    if (rateLimit.isPresent() && !rateLimit.get().available(nowNanos)) {
      return State.LIMITED;
    }
    return health.suspended(nowNanos) ? State.SUSPENDED : State.OPEN;
  }

  /**
   * Time until the server takes a request, 0 if it does now; empty if it never does, or if its data
   * centre is evacuated for an unknown time. The wait for the first answer after a pause is not
   * counted, since its end is not known.
   */
  public OptionalLong nanosToAccept(long nowNanos) {
    if (leaving || evacuated) {
      return OptionalLong.empty();
    }
    long toPermit = rateLimit.map(limit -> limit.nanosToPermit(nowNanos)).orElse(0L);
    return OptionalLong.of(Math.max(pause.nanosToEnd(nowNanos), toPermit));
  }

  /**
   * Whether the server takes no request, also none that is placed already: it leaves, pauses, or
   * its data centre is evacuated.
   */
  public boolean refusesAll(long nowNanos) {
    return leaving || evacuated || pause.nanosToEnd(nowNanos) > 0;
  }

  /** Records that a request is placed at the server, which uses a permit of its limit. */
  public void recordPlaced(long nowNanos) {
    rateLimit.ifPresent(limit -> limit.tryAcquire(nowNanos));
    pause.recordPlaced(nowNanos);
  }

  /** Pause that the server asked for. */
  public ServerPause pause() {
    return pause;
  }

  /** Passive health check of the server. */
  public ServerHealth health() {
    return health;
  }

  /** Whether the server is leaving and receives no new work. */
  public boolean leaving() {
    return leaving;
  }

  /** Marks the server as leaving; this cannot be undone. */
  public void markLeaving() {
    leaving = true;
  }

  /** Whether the data centre of the server is evacuated. */
  public boolean evacuated() {
    return evacuated;
  }

  /** Sets whether the data centre of the server is evacuated. */
  public void setEvacuated(boolean value) {
    evacuated = value;
  }

  /** Share of this instance in the rate that the server accepts; empty if it names no limit. */
  public Optional<SharedRateLimit> rateLimit() {
    return rateLimit;
  }

  /** Sets the share of this instance in the rate that the server accepts. */
  public void limitRate(SharedRateLimit limit) {
    rateLimit = Optional.of(limit);
  }

  /** Removes the limit of a server that names none any more. */
  public void removeRateLimit() {
    rateLimit = Optional.empty();
  }
}
