package org.basilport.policy.dispatch;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.basilport.policy.routing.RendezvousHash;

/**
 * Divides a large fleet into cells whose members exchange load.
 *
 * <p>Answers the cost of an exchange in which each instance tells all others. A model engine is
 * used by two cells only, so the instances that share it know all work on it, and the messages of
 * an instance do not grow with the fleet. A small fleet is one cell.
 */
public final class FleetCells {
  /** Instances in a cell on average; a fleet of this size is one cell. */
  private static final int CELL_SIZE = 12;

  /** Cells that use one engine: with one, a cell could be left without engines. */
  private static final int CELLS_PER_ENGINE = 2;

  private final List<String> cells;

  /** Divides a fleet of the given size. */
  public FleetCells(int instances) {
    int count = Math.max(1, (instances + CELL_SIZE - 1) / CELL_SIZE);
    this.cells = IntStream.range(0, count).mapToObj(Integer::toString).toList();
  }

  /** Whether the whole fleet is one cell. */
  public boolean single() {
    return cells.size() == 1;
  }

  /** The cell of an instance; it changes only when the number of cells does. */
  public String cellOf(String instanceId) {
    long hash = Hashing.murmur3_128().hashString(instanceId, StandardCharsets.UTF_8).asLong();
    return cells.get((int) Long.remainderUnsigned(hash, cells.size()));
  }

  /** The cells that use a model engine. */
  public Set<String> cellsOfEngine(String serverId) {
    return RendezvousHash.rank(serverId, cells, cell -> cell).stream()
        .limit(CELLS_PER_ENGINE)
        .collect(Collectors.toUnmodifiableSet());
  }
}
