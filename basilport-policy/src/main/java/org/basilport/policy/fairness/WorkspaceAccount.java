package org.basilport.policy.fairness;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import org.basilport.policy.GenerationClass;
import org.basilport.policy.WorkItem;

/** Service that one workspace received, and its waiting work. */
public final class WorkspaceAccount {
  /** Position in a heap of an account that is not in it. */
  static final int ABSENT = -1;

  final Map<GenerationClass, ArrayDeque<WorkItem>> queues = new EnumMap<>(GenerationClass.class);
  final int[] positions = new int[GenerationClass.values().length];
  int running;
  double bypassed;

  private final String workspace;
  private final double weight;
  private double counter;

  WorkspaceAccount(String workspace, double weight) {
    this.workspace = workspace;
    this.weight = weight;
    for (GenerationClass generationClass : GenerationClass.values()) {
      queues.put(generationClass, new ArrayDeque<>());
      positions[generationClass.ordinal()] = ABSENT;
    }
  }

  /** Returns the name of the workspace. */
  public String workspace() {
    return workspace;
  }

  /** Returns the weighted service so far, in output tokens. */
  public double counter() {
    return counter;
  }

  void charge(double service) {
    counter += service / weight;
  }

  void lift(double floor) {
    counter = Math.max(counter, floor);
  }

  boolean idle() {
    return running == 0 && queues.values().stream().allMatch(ArrayDeque::isEmpty);
  }
}
