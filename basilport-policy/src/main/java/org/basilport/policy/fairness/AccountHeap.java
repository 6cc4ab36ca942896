package org.basilport.policy.fairness;

import java.util.ArrayList;
import java.util.List;

/**
 * Binary heap of accounts by weighted service, the smallest first. There is one heap per generation
 * class; each account stores its position in each heap.
 */
final class AccountHeap {
  private final int heapIndex;
  private final List<WorkspaceAccount> accounts = new ArrayList<>();

  AccountHeap(int heapIndex) {
    this.heapIndex = heapIndex;
  }

  boolean isEmpty() {
    return accounts.isEmpty();
  }

  int size() {
    return accounts.size();
  }

  WorkspaceAccount peek() {
    return accounts.get(0);
  }

  void add(WorkspaceAccount account) {
    if (account.heapPositions[heapIndex] != WorkspaceAccount.NOT_IN_HEAP) {
      return;
    }
    accounts.add(account);
    account.heapPositions[heapIndex] = accounts.size() - 1;
    moveUp(accounts.size() - 1);
  }

  void remove(WorkspaceAccount account) {
    int position = account.heapPositions[heapIndex];
    if (position == WorkspaceAccount.NOT_IN_HEAP) {
      return;
    }
    account.heapPositions[heapIndex] = WorkspaceAccount.NOT_IN_HEAP;
    WorkspaceAccount last = accounts.remove(accounts.size() - 1);
    if (last != account) {
      accounts.set(position, last);
      last.heapPositions[heapIndex] = position;
      update(last);
    }
  }

  /** Restores the heap order after the weighted service of an account changed. */
  void update(WorkspaceAccount account) {
    int position = account.heapPositions[heapIndex];
    if (position != WorkspaceAccount.NOT_IN_HEAP) {
      moveDown(moveUp(position));
    }
  }

  private int moveUp(int from) {
    int position = from;
    while (position > 0 && less(position, (position - 1) / 2)) {
      swap(position, (position - 1) / 2);
      position = (position - 1) / 2;
    }
    return position;
  }

  private void moveDown(int from) {
    int position = from;
    while (2 * position + 1 < accounts.size()) {
      int child = 2 * position + 1;
      if (child + 1 < accounts.size() && less(child + 1, child)) {
        child++;
      }
      if (!less(child, position)) {
        return;
      }
      swap(child, position);
      position = child;
    }
  }

  private boolean less(int a, int b) {
    return accounts.get(a).weightedService() < accounts.get(b).weightedService();
  }

  private void swap(int a, int b) {
    WorkspaceAccount first = accounts.get(a);
    WorkspaceAccount second = accounts.get(b);
    accounts.set(a, second);
    accounts.set(b, first);
    second.heapPositions[heapIndex] = a;
    first.heapPositions[heapIndex] = b;
  }
}
