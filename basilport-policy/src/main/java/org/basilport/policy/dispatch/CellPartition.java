package org.basilport.policy.dispatch;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Partition of a fleet into cells whose members exchange load reports.
 *
 * <p>Reports between all pairs of instances would make the messages of an instance grow with the
 * fleet. Each model engine is used by two neighbouring cells, so the instances that share an engine
 * know all work on it. Instances and engines are sorted by hash and cut into equal ranges: all
 * cells have about the same number of both, and a join or departure moves only those at the
 * boundaries. A small fleet is a single cell.
 */
public final class CellPartition {
  /** Largest number of instances in a cell; a fleet of this size is a single cell. */
  private static final int MAX_CELL_INSTANCES = 12;

  /**
   * Expected distance of an engine from the centre of its cells, on a ring of length 1: half a cell
   * of a fleet of 73 to 84 instances. An engine is used by its own cell and the next one, and lies
   * anywhere within its own. The number of cells of the fleet has no influence, so that a join or
   * departure does not move all centres.
   */
  private static final double CENTRE_OFFSET = 0.07;

  private final int cellCount;
  private final Map<String, Integer> cellByInstance;
  private final Map<String, Integer> firstCellByEngine;

  /** Partitions a fleet and the engines that it serves. */
  public CellPartition(Collection<String> instances, Collection<String> engines) {
    this.cellCount = Math.max(1, (instances.size() + MAX_CELL_INSTANCES - 1) / MAX_CELL_INSTANCES);
    this.cellByInstance = assignCells(instances);
    this.firstCellByEngine = assignCells(engines);
  }

  /** Whether this is the partition of the given instances and engines. */
  public boolean matches(Set<String> instances, Set<String> engines) {
    return cellByInstance.keySet().equals(instances) && firstCellByEngine.keySet().equals(engines);
  }

  private Map<String, Integer> assignCells(Collection<String> ids) {
    List<String> ordered = new ArrayList<>(ids);
    ordered.sort(Comparator.comparingLong(CellPartition::hash).thenComparing(id -> id));
    Map<String, Integer> cells = new HashMap<>();
    for (int i = 0; i < ordered.size(); i++) {
      cells.put(ordered.get(i), (int) ((long) i * cellCount / ordered.size()));
    }
    return cells;
  }

  /**
   * Expected centre of the cells that use an engine, on a ring of length 1. It depends neither on
   * the instances nor on the other engines, unlike {@link #cellsOfEngine(String)}.
   */
  static double expectedCentre(String serverId) {
    return ringPosition(serverId) + CENTRE_OFFSET;
  }

  /** Distance of an instance from a position on the ring, at most 0.5. */
  static double ringDistance(String instanceId, double position) {
    double difference = Math.abs(ringPosition(instanceId) - position) % 1;
    return Math.min(difference, 1 - difference);
  }

  /** Position of an id in the order by which ids are assigned to cells, from 0 to 1. */
  private static double ringPosition(String id) {
    return 0.5 + hash(id) * 0x1p-64;
  }

  private static long hash(String id) {
    return Hashing.murmur3_128().hashString(id, StandardCharsets.UTF_8).asLong();
  }

  /** Whether the whole fleet is a single cell. */
  public boolean singleCell() {
    return cellCount == 1;
  }

  /** The cell of an instance; 0 for an unknown instance. */
  public int cellOf(String instanceId) {
    return cellByInstance.getOrDefault(instanceId, 0);
  }

  /** The cells that share engines with a cell, including the cell itself. */
  public Set<Integer> neighbours(int cell) {
    return new HashSet<>(
        Arrays.asList((cell + cellCount - 1) % cellCount, cell, (cell + 1) % cellCount));
  }

  /** The cells that use a model engine; empty for an unknown engine. */
  public Set<Integer> cellsOfEngine(String serverId) {
    Integer first = firstCellByEngine.get(serverId);
    if (first == null) {
      return Set.of();
    }
    int second = (first + 1) % cellCount;
    return first == second ? Set.of(first) : Set.of(first, second);
  }
}
