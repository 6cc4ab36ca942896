package org.basilport.policy.fairness;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import org.basilport.policy.GenerationClass;
import org.basilport.policy.WorkItem;

/** Service received by a workspace, and its queued generations. */
public final class WorkspaceAccount {
  /** Position of an account that is not in a heap. */
  static final int NOT_IN_HEAP = -1;

  final Map<GenerationClass, ArrayDeque<WorkItem>> queues = new EnumMap<>(GenerationClass.class);
  final int[] heapPositions = new int[GenerationClass.values().length];
  int running;
  double bypassingService;

  private final String workspace;
  private final double weight;
  private double weightedService;

  WorkspaceAccount(String workspace, double weight) {
    this.workspace = workspace;
    this.weight = weight;
    for (GenerationClass generationClass : GenerationClass.values()) {
      queues.put(generationClass, new ArrayDeque<>());
      heapPositions[generationClass.ordinal()] = NOT_IN_HEAP;
    }
  }

  /** Returns the name of the workspace. */
  public String workspace() {
    return workspace;
  }

  /** Returns the service received so far divided by the weight, in output tokens. */
  public double weightedService() {
    return weightedService;
  }

  void charge(double service) {
    weightedService += service / weight;
  }

  void raiseTo(double minimum) {
    weightedService = Math.max(weightedService, minimum);
  }

  boolean idle() {
    return running == 0 && queues.values().stream().allMatch(ArrayDeque::isEmpty);
  }
}
