package org.basilport.gateway.peer;

import java.util.HashSet;
import java.util.Set;
import org.basilport.policy.dispatch.CellPartition;

/** Collects what the next report has to contain and which cells it is for. */
final class PendingReport {
  private final Set<String> changedEngines = new HashSet<>();
  private boolean evidence;
  private boolean toNeighbours;
  private boolean toAll;

  /** Adds changed work on an engine, for the cells that use the engine. */
  void addWork(String engineId) {
    changedEngines.add(engineId);
  }

  /** Adds evidence for the own cell. */
  void addEvidence() {
    evidence = true;
  }

  /** Adds evidence for the own and the neighbouring cells. */
  void addEvidenceForNeighbours() {
    evidence = true;
    toNeighbours = true;
  }

  /** Adds evidence for all cells. */
  void addEvidenceForAll() {
    evidence = true;
    toAll = true;
  }

  /** Returns the audience of what was added, and starts anew. */
  Audience take(CellPartition cells, int ownCell) {
    Set<Integer> audience = new HashSet<>();
    audience.add(ownCell);
    if (!cells.singleCell()) {
      changedEngines.forEach(id -> audience.addAll(cells.cellsOfEngine(id)));
    }
    if (toNeighbours) {
      audience.addAll(cells.neighbours(ownCell));
    }
    Audience taken = new Audience(toAll, audience, evidence);
    changedEngines.clear();
    evidence = false;
    toNeighbours = false;
    toAll = false;
    return taken;
  }

  /**
   * Receivers of a report.
   *
   * @param all whether all instances receive it
   * @param cells cells whose instances receive it otherwise
   * @param withEvidence whether it contains crashes, quarantines and limits, which would dominate
   *     the frequent reports of changed work
   */
  record Audience(boolean all, Set<Integer> cells, boolean withEvidence) {}
}
