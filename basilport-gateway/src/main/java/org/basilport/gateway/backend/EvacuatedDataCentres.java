package org.basilport.gateway.backend;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.policy.dispatch.DataCentreEvacuations;
import org.basilport.policy.dispatch.StorePosition;
import org.basilport.policy.dispatch.StoreRead;

/**
 * Owns what this instance knows of evacuated data centres and marks their servers. It permits
 * everything until {@link #activate(MetricRegistry)} is called, and then nothing until the first
 * read of the store. Confined to the event loop thread.
 */
public final class EvacuatedDataCentres {
  private final ServerTable servers;
  private final EventSink events;
  private final DataCentreEvacuations evacuations = new DataCentreEvacuations();
  private final List<RestorationListener> restorationListeners = new ArrayList<>();
  private final Counter refusedSends = new Counter();
  private Histogram proofAgeMillis;
  private boolean active;

  /** Read by the thread of the metrics. */
  private volatile int evacuatedCount;

  /** Receives the end of the evacuation of a data centre. */
  public interface RestorationListener {
    /**
     * Called before the servers of the data centre take requests again.
     *
     * @param nowNanos monotonic time at which this instance learned of the end
     */
    void onRestored(String dataCentre, long nowNanos);
  }

  /** Creates an owner that permits everything. */
  public EvacuatedDataCentres(ServerTable servers, EventSink events) {
    this.servers = servers;
    this.events = events;
  }

  /** Begins to follow evacuations; nothing is sent to any server before the first read. */
  public void activate(MetricRegistry metrics) {
    active = true;
    proofAgeMillis = metrics.histogram("evacuations.proof_age_ms");
    metrics.counter("evacuations.refused_sends", () -> refusedSends);
    metrics.gauge("evacuations.data_centres", () -> () -> evacuatedCount);
    servers.setEvacuated(evacuations::evacuated);
  }

  /** Whether this deployment evacuates data centres. */
  public boolean active() {
    return active;
  }

  /** Whether the evacuated data centres are known, or none is ever evacuated. */
  public boolean known() {
    return !active || evacuations.known();
  }

  /** Adds a listener that is called when the evacuation of a data centre has ended. */
  public void onRestored(RestorationListener listener) {
    restorationListeners.add(listener);
  }

  /**
   * Applies a linearizable read of the store, by this instance or another one.
   *
   * @param dataCentres names of the objects
   * @param position position of the store at the read
   * @param read begin of the read, by the clocks of this instance
   */
  public void apply(
      Set<String> dataCentres, StorePosition position, StoreRead read, long nowNanos) {
    if (!active) {
      return;
    }
    boolean knownBefore = evacuations.known();
    DataCentreEvacuations.Change change = evacuations.apply(dataCentres, position, read, nowNanos);
    if (knownBefore && change.isEmpty()) {
      return;
    }
    change.evacuated().forEach(name -> record(EventType.DATA_CENTRE_EVACUATED, name));
    for (String name : change.restored()) {
      record(EventType.DATA_CENTRE_RESTORED, name);
      restorationListeners.forEach(listener -> listener.onRestored(name, nowNanos));
    }
    servers.setEvacuated(evacuations::evacuated);
    evacuatedCount = evacuations.evacuated().size();
  }

  private void record(EventType type, String dataCentre) {
    StorePosition position = evacuations.position();
    events.record(type, EventSubject.NONE, dataCentre, position.incarnation(), position.revision());
  }

  /** The data centres that the store named at {@link #position()}. */
  public Set<String> stored() {
    return evacuations.stored();
  }

  /** Position of the store of the latest known read. */
  public StorePosition position() {
    return evacuations.position();
  }

  /** Age of the proof of this knowledge in milliseconds; {@link Long#MAX_VALUE} without one. */
  public long ageMillis(long nowNanos, long nowWallMillis) {
    return evacuations.proofAgeMillis(nowNanos, nowWallMillis);
  }

  /** Adds the present age of the proof to its histogram. */
  public void observeAge(long nowNanos, long nowWallMillis) {
    long age = ageMillis(nowNanos, nowWallMillis);
    if (active && age != Long.MAX_VALUE) {
      proofAgeMillis.update(age);
    }
  }

  /** Counts a send that was refused since its server had been chosen before the evacuation. */
  public void recordRefusedSend() {
    refusedSends.inc();
  }
}
