package org.basilport.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.forward.HomeRegions;
import org.basilport.policy.dispatch.AllowedRegions;
import org.basilport.policy.dispatch.InstanceAddress;
import org.basilport.policy.dispatch.InstanceAddressSelector;
import org.basilport.policy.dispatch.InstanceAddressSelector.Selection;

/**
 * Addresses of the instances to which callers may connect. Updated on the event loop thread, asked
 * from any thread.
 */
public final class AddressDirectory {
  private final String ownAddress;
  private final String ownRegion;
  private final HomeRegions homeRegions;
  private final EventSink events;
  private final Counter answersOutsideHome;
  private final Set<String> hostsOutsideHome = ConcurrentHashMap.newKeySet();
  private volatile boolean ownReady;
  private volatile List<InstanceAddress> others = List.of();

  /**
   * Creates a directory without an address.
   *
   * @param ownAddress address of this instance
   * @param ownRegion region of this instance; empty if it is not known
   */
  AddressDirectory(
      String ownAddress,
      String ownRegion,
      HomeRegions homeRegions,
      EventSink events,
      MetricRegistry metrics) {
    this.ownAddress = ownAddress;
    this.ownRegion = ownRegion;
    this.homeRegions = homeRegions;
    this.events = events;
    this.answersOutsideHome = metrics.counter("directory.outside_home");
    metrics.gauge(
        "directory.addresses",
        () -> () -> select(AllowedRegions.ALL, "", System.nanoTime()).addresses().size());
  }

  /** Replaces the instances. */
  void update(boolean ready, List<InstanceAddress> instances) {
    ownReady = ready;
    others = instances;
  }

  /**
   * The addresses for a caller, this instance first; empty if no instance is ready.
   *
   * @param host host that the caller wants to call
   * @param region region of the caller; empty if it is not told
   * @param dataCentre data centre of the caller, which tells its region otherwise
   * @param nowNanos monotonic time
   */
  public List<String> resolve(String host, String region, String dataCentre, long nowNanos) {
    AllowedRegions home = homeRegions.ofHost(host);
    String callerRegion = region.isEmpty() ? homeRegions.regionOf(dataCentre) : region;
    Selection selection = select(home, callerRegion, nowNanos);
    if (selection.outsideHome()) {
      answersOutsideHome.inc();
      if (hostsOutsideHome.add(host)) {
        events.record(
            EventType.MEMBERS_OUTSIDE_HOME, EventSubject.NONE, host, home.regions().orElseThrow());
      }
    } else {
      hostsOutsideHome.remove(host);
    }
    return selection.addresses();
  }

  private Selection select(AllowedRegions home, String callerRegion, long nowNanos) {
    List<InstanceAddress> instances = new ArrayList<>();
    instances.add(new InstanceAddress(ownAddress, ownRegion, ownReady, OptionalLong.of(nowNanos)));
    instances.addAll(others);
    return InstanceAddressSelector.select(instances, home, callerRegion, nowNanos);
  }
}
