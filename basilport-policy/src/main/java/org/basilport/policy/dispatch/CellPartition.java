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
 * Divides a large fleet into cells whose members exchange load.
 *
 * <p>Answers the cost of an exchange in which each instance tells all others. A model engine is
 * used by two neighbouring cells, so the instances that share it know all work on it, and the
 * messages of an instance do not grow with the fleet. Instances and engines are put in the order of
 * their hashes and cut into equal parts: cells have the same number of both, and a join or leave
 * moves only those at the borders. A small fleet is one cell.
 */
public final class CellPartition {
  /** Instances in a cell at most; a fleet of this size is one cell. */
  private static final int CELL_SIZE = 12;

  private final int count;
  private final Map<String, Integer> cellsByInstance;
  private final Map<String, Integer> cellsByEngine;

  /** Divides a fleet and the engines that it serves. */
  public CellPartition(Collection<String> instances, Collection<String> engines) {
    this.count = Math.max(1, (instances.size() + CELL_SIZE - 1) / CELL_SIZE);
    this.cellsByInstance = divide(instances);
    this.cellsByEngine = divide(engines);
  }

  /** Whether this is the division of the given fleet and engines. */
  public boolean matches(Set<String> instances, Set<String> engines) {
    return cellsByInstance.keySet().equals(instances) && cellsByEngine.keySet().equals(engines);
  }

  private Map<String, Integer> divide(Collection<String> ids) {
    List<String> ordered = new ArrayList<>(ids);
    ordered.sort(Comparator.comparingLong(CellPartition::hash).thenComparing(id -> id));
    Map<String, Integer> cells = new HashMap<>();
    for (int i = 0; i < ordered.size(); i++) {
      cells.put(ordered.get(i), (int) ((long) i * count / ordered.size()));
    }
    return cells;
  }

  private static long hash(String id) {
    return Hashing.murmur3_128().hashString(id, StandardCharsets.UTF_8).asLong();
  }

  /** Whether the whole fleet is one cell. */
  public boolean singleCell() {
    return count == 1;
  }

  /** The cell of an instance. */
  public int cellOf(String instanceId) {
    return cellsByInstance.getOrDefault(instanceId, 0);
  }

  /** The cells that share engines with a cell, and the cell itself. */
  public Set<Integer> neighbours(int cell) {
    return new HashSet<>(Arrays.asList((cell + count - 1) % count, cell, (cell + 1) % count));
  }

  /** The cells that use a model engine; empty for an engine that is not known. */
  public Set<Integer> cellsOfEngine(String serverId) {
    Integer first = cellsByEngine.get(serverId);
    if (first == null) {
      return Set.of();
    }
    int second = (first + 1) % count;
    return first == second ? Set.of(first) : Set.of(first, second);
  }
}
