package org.basilport.policy.fairness;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilport.policy.GenerationClass;
import org.basilport.policy.WorkItem;

/**
 * Waiting generations of all workspaces, in the order of weighted service received.
 *
 * <p>The workspace with the smallest counter is next. A workspace that was idle is lifted to the
 * smallest counter of those that wait, so idling earns nothing.
 *
 * <p>A generation is charged its expected service when it starts, and the difference to its actual
 * service while it runs and at its end. The bound: while two workspaces both wait, their counters
 * differ by at most the largest service of one workspace's generations that run at once, plus one
 * more generation, plus {@link #MAX_BYPASSING_SERVICE}, each divided by the weight. The reason:
 * only the workspace with the smallest counter starts work, so at that moment it is not ahead.
 * Afterwards it gets ahead by the one charge and by what its running work turns out to need beyond
 * the charge; it falls behind by what is given back, and by what passes it while its own next
 * generation does not fit. The counters hold no work back: what fits starts, except after the limit
 * on bypassing, when memory is kept for the workspace that was passed.
 */
public final class FairQueue {
  /** Generations of one workspace that are looked through for one of another route. */
  private static final int MAX_SEARCHED_ITEMS = 16;

  /**
   * Service that others may receive while the next workspace's generation does not fit. After it,
   * nothing else starts, so that the memory that ends of other generations free goes to it.
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
   * @param limit largest number of waiting generations
   * @param weights share of each workspace; 1 for a workspace that is not named
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

  /** Removes a waiting generation; returns false when it does not wait. */
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

  /** Returns whether generations of a class wait. */
  public boolean hasWaiting(GenerationClass generationClass) {
    return !heaps[generationClass.ordinal()].isEmpty();
  }

  /** Takes the next workspace of a class out of the order until {@link #restore}. */
  public WorkspaceAccount skip(GenerationClass generationClass) {
    WorkspaceAccount account = heaps[generationClass.ordinal()].peek();
    heaps[generationClass.ordinal()].remove(account);
    return account;
  }

  /**
   * Returns a generation of another route behind the next one of the same workspace.
   *
   * <p>A short question would otherwise wait behind a long description that does not fit.
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

  /** Counts service that was given to others while accounts were skipped. */
  public void recordBypass(List<WorkspaceAccount> skipped, double service) {
    for (WorkspaceAccount account : skipped) {
      account.bypassingService += service;
    }
  }

  /** Returns whether a skipped account must not be bypassed any more. */
  public boolean bypassLimitReached(WorkspaceAccount account) {
    return account.bypassingService > MAX_BYPASSING_SERVICE;
  }

  /** Puts skipped workspaces of a class back. */
  public void restore(GenerationClass generationClass, List<WorkspaceAccount> skipped) {
    for (WorkspaceAccount account : skipped) {
      heaps[generationClass.ordinal()].add(account);
    }
  }

  /** Takes a generation that starts now, and charges its workspace. */
  public WorkspaceAccount recordStart(WorkItem item, double service) {
    WorkspaceAccount account = account(item.workspace());
    serviceFloor = Math.max(serviceFloor, account.weightedService());
    remove(item);
    account.running++;
    account.bypassingService = 0;
    charge(account, service);
    return account;
  }

  /** Charges service, or gives back what was charged too much when negative. */
  public void charge(WorkspaceAccount account, double service) {
    account.charge(service);
    for (AccountHeap heap : heaps) {
      heap.update(account);
    }
  }

  /** Tells that a started generation ended. */
  public void recordEnd(WorkspaceAccount account) {
    account.running--;
  }

  /** Returns the number of waiting generations. */
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
