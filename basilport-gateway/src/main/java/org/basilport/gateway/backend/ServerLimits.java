package org.basilport.gateway.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.policy.dispatch.NamedLimit;
import org.basilport.policy.dispatch.SharedRateLimit;

/**
 * Limits that servers name in their responses to this and other instances, and the share of this
 * instance in each. Confined to the event loop thread.
 */
public final class ServerLimits {
  /** Relative change of a limit that is reported at once, since some servers name others often. */
  private static final double SIGNIFICANT_CHANGE_SHARE = 0.1;

  private final EventSink events;
  private final Map<BackendServer, NamedLimit> limits = new HashMap<>();
  private Runnable changeListener = () -> {};
  private int instances = 1;
  private int rank;

  ServerLimits(EventSink events) {
    this.events = events;
  }

  /** Sets the listener that is called when a response told this instance of a new limit. */
  public void onChange(Runnable listener) {
    changeListener = listener;
  }

  /**
   * Sets the position of this instance in the fleet, which determines its share.
   *
   * @param instanceCount number of instances
   * @param position position of this instance in the order of all instances, from 0
   */
  public void setFleetPosition(int instanceCount, int position) {
    instances = instanceCount;
    rank = position;
    limits.forEach(this::apply);
  }

  /** Records the limit that a server named, or did not name, in a response to this instance. */
  public void record(BackendServer server, OptionalDouble perSecond) {
    NamedLimit known = limits.get(server);
    long now = System.nanoTime();
    if (perSecond.isEmpty() && (known == null || !known.changedByNoLimit(now))) {
      return;
    }
    if (merge(server, new NamedLimit(perSecond, now, now), "response")) {
      changeListener.run();
    }
  }

  /** Records the limit that a server named, or did not name, in a response to another instance. */
  public void recordReported(BackendServer server, NamedLimit reported, String source) {
    merge(server, reported, source);
  }

  /** Merges an observation; returns whether it changes the limit significantly. */
  private boolean merge(BackendServer server, NamedLimit observed, String source) {
    NamedLimit known = limits.get(server);
    NamedLimit merged = known == null ? observed : known.merge(observed);
    limits.put(server, merged);
    apply(server, merged);
    boolean changed =
        known == null
            ? merged.perSecond().isPresent()
            : differs(known.perSecond(), merged.perSecond());
    if (changed) {
      String limit =
          merged.perSecond().isPresent()
              ? Double.toString(merged.perSecond().getAsDouble())
              : "unlimited";
      String id = server.entry().id();
      events.record(EventType.BACKEND_LIMIT_CHANGED, EventSubject.server(id), id, limit, source);
    }
    return changed;
  }

  private static boolean differs(OptionalDouble known, OptionalDouble merged) {
    if (known.isEmpty() || merged.isEmpty()) {
      return known.isPresent() != merged.isPresent();
    }
    double change = Math.abs(merged.getAsDouble() - known.getAsDouble());
    return change > SIGNIFICANT_CHANGE_SHARE * known.getAsDouble();
  }

  private void apply(BackendServer server, NamedLimit limit) {
    if (limit.perSecond().isEmpty()) {
      server.load().admission().removeRateLimit();
      return;
    }
    double perSecond = limit.perSecond().getAsDouble();
    Optional<SharedRateLimit> share = server.load().admission().rateLimit();
    if (share.isPresent()) {
      share.get().update(perSecond, instances, rank, System.nanoTime());
    } else {
      server
          .load()
          .admission()
          .limitRate(new SharedRateLimit(perSecond, instances, rank, limit.sinceNanos()));
    }
  }

  /** Forgets a server that has left. */
  void remove(BackendServer server) {
    limits.remove(server);
  }

  /** The limits, and those that ended lately, to be sent to other instances. */
  public Map<BackendServer, NamedLimit> reportable(long nowNanos) {
    Map<BackendServer, NamedLimit> reportable = new HashMap<>();
    limits.forEach(
        (server, limit) -> {
          if (limit.reportable(nowNanos)) {
            reportable.put(server, limit);
          }
        });
    return reportable;
  }
}
