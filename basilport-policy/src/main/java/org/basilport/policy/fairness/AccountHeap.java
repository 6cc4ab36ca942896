package org.basilport.policy.fairness;

import java.util.ArrayList;
import java.util.List;

/** A binary heap of accounts by counter, with the position kept in the account. */
final class AccountHeap {
  private final int slot;
  private final List<WorkspaceAccount> accounts = new ArrayList<>();

  AccountHeap(int slot) {
    this.slot = slot;
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
    if (account.positions[slot] != WorkspaceAccount.ABSENT) {
      return;
    }
    accounts.add(account);
    account.positions[slot] = accounts.size() - 1;
    moveUp(accounts.size() - 1);
  }

  void remove(WorkspaceAccount account) {
    int position = account.positions[slot];
    if (position == WorkspaceAccount.ABSENT) {
      return;
    }
    account.positions[slot] = WorkspaceAccount.ABSENT;
    WorkspaceAccount last = accounts.remove(accounts.size() - 1);
    if (last != account) {
      accounts.set(position, last);
      last.positions[slot] = position;
      update(last);
    }
  }

  /** Restores the order after the counter of an account changed. */
  void update(WorkspaceAccount account) {
    int position = account.positions[slot];
    if (position != WorkspaceAccount.ABSENT) {
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
    return accounts.get(a).counter() < accounts.get(b).counter();
  }

  private void swap(int a, int b) {
    WorkspaceAccount first = accounts.get(a);
    WorkspaceAccount second = accounts.get(b);
    accounts.set(a, second);
    accounts.set(b, first);
    second.positions[slot] = a;
    first.positions[slot] = b;
  }
}
