package org.basilport.policy.fairness;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilport.policy.GenerationClass;
import org.basilport.policy.WorkItem;

/**
 * Queued generations of all workspaces, ordered by weighted service received.
 *
 * <p>The workspace with the smallest weighted service is next. When an idle workspace submits work,
 * its weighted service is raised to the smallest one among the workspaces with queued generations,
 * so that idle time earns no credit.
 *
 * <p>A generation is charged its expected service when it starts; the difference to its actual
 * service is charged while it runs and settled at its end. While two workspaces both have queued
 * generations, their weighted service differs by at most the largest service of one workspace's
 * concurrently running generations, plus one more generation, plus {@link #MAX_BYPASSING_SERVICE},
 * each divided by the weight. Only the workspace with the smallest weighted service starts work, so
 * at that moment it is not ahead. Afterwards it gets ahead by this charge and by what its running
 * generations use beyond their charges. It falls behind by refunds, and by the service of others
 * while its own next generation does not fit. Weighted service alone delays no generation that
 * fits, except after the limit on bypassing, when memory is kept free for the bypassed workspace.
 */
public final class FairQueue {
  /** Generations of one workspace that are searched for one of another route. */
  private static final int MAX_SEARCHED_ITEMS = 16;

  /**
   * Service that others may receive while the next generation of a workspace does not fit, in
   * output tokens. Beyond it nothing else starts, so that memory freed by ending generations
   * becomes available to the bypassed workspace.
   */
  private static final double MAX_BYPASSING_SERVICE = 20_000;

  private final Map<String, Double> weights;
  private final int limit;
  private final Map<String, WorkspaceAccount> accounts = new HashMap<>();
  private final AccountHeap[] heaps;
  private double serviceFloor;
  private int size;

  /**
   * Creates an empty queue.
   *
   * @param limit maximum number of queued generations
   * @param weights fair-share weight by workspace; 1 for a workspace that is not listed
   */
  public FairQueue(int limit, Map<String, Double> weights) {
    this.limit = limit;
    this.weights = Map.copyOf(weights);
    heaps = new AccountHeap[GenerationClass.values().length];
    for (int i = 0; i < heaps.length; i++) {
      heaps[i] = new AccountHeap(i);
    }
  }

  /** Adds a generation; returns false when the queue is full. */
  public boolean add(WorkItem item) {
    if (size >= limit) {
      return false;
    }
    WorkspaceAccount account = account(item.workspace());
    if (account.idle()) {
      account.raiseTo(serviceFloor());
    }
    account.queues.get(item.generationClass()).add(item);
    heaps[item.generationClass().ordinal()].add(account);
    size++;
    return true;
  }

  /** Removes a queued generation; returns false when it is not queued. */
  public boolean remove(WorkItem item) {
    WorkspaceAccount account = account(item.workspace());
    ArrayDeque<WorkItem> queue = account.queues.get(item.generationClass());
    if (!queue.remove(item)) {
      return false;
    }
    size--;
    if (queue.isEmpty()) {
      heaps[item.generationClass().ordinal()].remove(account);
    }
    return true;
  }

  /** Returns the next generation of a class, without removing it. */
  public Optional<WorkItem> peek(GenerationClass generationClass) {
    AccountHeap heap = heaps[generationClass.ordinal()];
    return heap.isEmpty()
        ? Optional.empty()
        : Optional.ofNullable(heap.peek().queues.get(generationClass).peek());
  }

  /** Returns whether any generation of a class is queued. */
  public boolean hasWaiting(GenerationClass generationClass) {
    return !heaps[generationClass.ordinal()].isEmpty();
  }

  /** Removes the next workspace of a class from the order until {@link #restore} and returns it. */
  public WorkspaceAccount skip(GenerationClass generationClass) {
    WorkspaceAccount account = heaps[generationClass.ordinal()].peek();
    heaps[generationClass.ordinal()].remove(account);
    return account;
  }

  /**
   * Returns the first generation of the next workspace that has another route than its next
   * generation.
   *
   * <p>Lets a short generation of another route bypass a long one that does not fit.
   */
  public Optional<WorkItem> peekOtherRoute(GenerationClass generationClass) {
    AccountHeap heap = heaps[generationClass.ordinal()];
    String nextRoute = null;
    int searched = 0;
    for (WorkItem item : heap.peek().queues.get(generationClass)) {
      if (nextRoute == null) {
        nextRoute = item.route();
      } else if (!nextRoute.equals(item.route())) {
        return Optional.of(item);
      }
      searched++;
      if (searched == MAX_SEARCHED_ITEMS) {
        break;
      }
    }
    return Optional.empty();
  }

  /** Records service that other workspaces received while accounts were skipped. */
  public void recordBypass(List<WorkspaceAccount> skipped, double service) {
    for (WorkspaceAccount account : skipped) {
      account.bypassingService += service;
    }
  }

  /** Returns whether a skipped account may not be bypassed any longer. */
  public boolean bypassLimitReached(WorkspaceAccount account) {
    return account.bypassingService > MAX_BYPASSING_SERVICE;
  }

  /** Restores skipped workspaces of a class. */
  public void restore(GenerationClass generationClass, List<WorkspaceAccount> skipped) {
    for (WorkspaceAccount account : skipped) {
      heaps[generationClass.ordinal()].add(account);
    }
  }

  /**
   * Removes a generation that starts now and charges its workspace.
   *
   * @param service expected service, in output tokens
   */
  public WorkspaceAccount recordStart(WorkItem item, double service) {
    WorkspaceAccount account = account(item.workspace());
    serviceFloor = Math.max(serviceFloor, account.weightedService());
    remove(item);
    account.running++;
    account.bypassingService = 0;
    charge(account, service);
    return account;
  }

  /** Charges service to a workspace; a negative amount is a refund. */
  public void charge(WorkspaceAccount account, double service) {
    account.charge(service);
    for (AccountHeap heap : heaps) {
      heap.update(account);
    }
  }

  /** Records that a started generation ended. */
  public void recordEnd(WorkspaceAccount account) {
    account.running--;
  }

  /** Returns the number of queued generations. */
  public int size() {
    return size;
  }

  private WorkspaceAccount account(String workspace) {
    return accounts.computeIfAbsent(
        workspace, name -> new WorkspaceAccount(name, weights.getOrDefault(name, 1.0)));
  }

  private double serviceFloor() {
    double smallest = Double.POSITIVE_INFINITY;
    for (AccountHeap heap : heaps) {
      if (!heap.isEmpty()) {
        smallest = Math.min(smallest, heap.peek().weightedService());
      }
    }
    return smallest == Double.POSITIVE_INFINITY ? serviceFloor : smallest;
  }
}
