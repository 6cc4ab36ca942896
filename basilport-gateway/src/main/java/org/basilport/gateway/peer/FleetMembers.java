package org.basilport.gateway.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.basilport.policy.dispatch.CellPartition;
import org.basilport.policy.dispatch.ExpiredEntryRetention;

/** The registered instances with their cells and addresses. Confined to the event loop thread. */
final class FleetMembers {
  /**
   * Time in which all instances notice that the store returned from an older copy and write lost
   * registrations again (about 5 s), and in which the others list them (another 5 s).
   */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(12);

  private final String ownId;
  private final ExpiredEntryRetention retention = new ExpiredEntryRetention();
  private List<InstanceEntry> listed = List.of();
  private List<InstanceEntry> others = List.of();
  private Map<Integer, List<InetSocketAddress>> addressesByCell = Map.of();
  private CellPartition cells = new CellPartition(Set.of(), Set.of());
  private boolean changed;

  FleetMembers(String ownId) {
    this.ownId = ownId;
  }

  /** Replaces the instances; {@link #partition} takes them into account. */
  void update(List<InstanceEntry> entries, long nowNanos) {
    listed = entries.stream().filter(entry -> !entry.id().equals(ownId)).toList();
    others =
        retention.merge(others, listed, InstanceEntry::id, (known, current) -> current, nowNanos);
    changed = true;
  }

  /** Keeps instances that are not listed any more for a while. */
  void retain(long nowNanos) {
    retention.start(nowNanos, RETENTION_NANOS);
  }

  /** Removes the instances that were not listed again; returns whether the retention has ended. */
  boolean endRetention(long nowNanos) {
    if (!retention.pollEnded(nowNanos)) {
      return false;
    }
    update(listed, nowNanos);
    return true;
  }

  /** Number of instances, including the own one. */
  int size() {
    return others.size() + 1;
  }

  /** Position of this instance in the order of the ids of all instances, from 0. */
  int rank() {
    return (int) others.stream().filter(entry -> entry.id().compareTo(ownId) < 0).count();
  }

  /** Whether the instances were replaced since the last partition. */
  boolean changed() {
    return changed;
  }

  /**
   * Partitions the instances and engines again.
   *
   * @return the previous partition; empty if it has not changed
   */
  Optional<CellPartition> partition(Set<String> engines) {
    changed = false;
    Set<String> ids = new HashSet<>();
    others.forEach(entry -> ids.add(entry.id()));
    ids.add(ownId);
    Optional<CellPartition> previous = Optional.empty();
    if (!cells.matches(ids, engines)) {
      previous = Optional.of(cells);
      cells = new CellPartition(ids, engines);
    }
    addressesByCell =
        others.stream()
            .collect(
                Collectors.groupingBy(
                    entry -> cells.cellOf(entry.id()),
                    Collectors.mapping(InstanceEntry::peerAddress, Collectors.toList())));
    return previous;
  }

  CellPartition cells() {
    return cells;
  }

  int ownCell() {
    return cells.cellOf(ownId);
  }

  /** The other instances of the own cell. */
  List<InstanceEntry> ownCellMembers() {
    int own = ownCell();
    return others.stream().filter(entry -> cells.cellOf(entry.id()) == own).toList();
  }

  /** Addresses of all other instances. */
  List<InetSocketAddress> allAddresses() {
    return others.stream().map(InstanceEntry::peerAddress).toList();
  }

  /** Addresses of the other instances of some cells. */
  List<InetSocketAddress> addresses(Set<Integer> ofCells) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    ofCells.forEach(cell -> addresses.addAll(addressesByCell.getOrDefault(cell, List.of())));
    return addresses;
  }
}
