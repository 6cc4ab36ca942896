package org.basilport.gateway.backend;

import com.codahale.metrics.Counter;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.policy.dispatch.ServerPause;

/**
 * Pauses that servers asked this instance for. They are not told to other instances, of which each
 * server asks its own. A pause outlives the entry of its server, which may be missing for a while.
 * Confined to the event loop thread.
 */
public final class ServerPauses {
  /**
   * Longest pause. One request after it tells whether the server meant a longer one, so that a
   * faulty value does not exclude a server for good.
   */
  private static final Duration MAX_PAUSE = Duration.ofDays(1);

  /** Delay between the first requests of two instances after a pause, in the order of their ids. */
  private static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

  /** Longest delay of the first request after a pause. */
  private static final long MAX_TURN_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final EventSink events;
  private final Counter notices = new Counter();
  private final Map<String, KnownPause> pauses = new HashMap<>();
  private int rank;

  ServerPauses(EventSink events) {
    this.events = events;
  }

  /** Sets the position of this instance in the order of all instances, from 0. */
  public void setRank(int position) {
    rank = position;
  }

  /** Counts the pauses that began or became longer. */
  public Counter notices() {
    return notices;
  }

  /**
   * Records a pause that a start of a server asked for.
   *
   * @param server the server if it is listed
   * @return whether the pause began or became longer through this
   */
  boolean record(
      ServerEntry entry, Optional<BackendServer> server, String requestId, Duration told) {
    long now = System.nanoTime();
    long turnDelay = Math.min(MAX_TURN_DELAY_NANOS, rank * TURN_NANOS);
    long length = (told.compareTo(MAX_PAUSE) < 0 ? told : MAX_PAUSE).toNanos() + turnDelay;
    pauses.values().removeIf(known -> known.untilNanos() - now <= 0);
    KnownPause asked = new KnownPause(entry.incarnation(), now + length);
    pauses.merge(entry.id(), asked, KnownPause::later);
    boolean changed =
        server
            .map(listed -> listed.load().admission().pause())
            .filter(pause -> pause.pauseUntil(asked.untilNanos(), now))
            .isPresent();
    if (!changed) {
      return false;
    }
    notices.inc();
    events.record(
        EventType.BACKEND_PAUSED,
        EventSubject.request(requestId, "").withServer(entry.id()),
        requestId,
        entry.id(),
        entry.incarnation(),
        TimeUnit.NANOSECONDS.toMillis(length));
    return true;
  }

  /** Applies the pause of a server whose entry is listed again. */
  void restore(BackendServer server) {
    KnownPause known = pauses.get(server.entry().id());
    if (known != null && known.incarnation() == server.entry().incarnation()) {
      ServerPause pause = server.load().admission().pause();
      pause.pauseUntil(known.untilNanos(), System.nanoTime());
    }
  }

  /** Pause of one start of a server. */
  private record KnownPause(long incarnation, long untilNanos) {
    KnownPause later(KnownPause other) {
      boolean sameStart = incarnation == other.incarnation;
      return sameStart && untilNanos - other.untilNanos > 0 ? this : other;
    }
  }
}
