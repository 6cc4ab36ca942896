package org.basilport.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.basilport.policy.fairness.FairQueue;
import org.basilport.policy.fairness.WorkspaceAccount;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FairQueueTest {
  private static final double LARGEST_SERVICE = 1_000;

  private static WorkItem item(int id, String workspace) {
    return new WorkItem(
        "r" + id, workspace, "route", "model", GenerationClass.STREAMED, 10, 100, 1, 1);
  }

  private record Started(WorkspaceAccount account, double charged) {}

  @Nested
  class Bound {
    /** Guards against a service gap between backlogged workspaces that grows with time. */
    @Test
    void holdsBetweenBackloggedWorkspacesInLongRuns() {
      for (long seed = 1; seed <= 10; seed++) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Double> weights = Map.of("a", 1.0, "b", 2.0, "c", 1.0, "d", 5.0);
        FairQueue queue = new FairQueue(1_000, weights);
        Map<String, WorkspaceAccount> accounts = new HashMap<>();
        List<Started> running = new ArrayList<>();
        int slots = 6;
        int id = 0;
        for (String workspace : weights.keySet()) {
          queue.add(item(id++, workspace));
          queue.add(item(id++, workspace));
        }
        for (int step = 0; step < 20_000; step++) {
          if (running.size() < slots) {
            WorkItem next = queue.peek(GenerationClass.STREAMED).orElseThrow();
            double expected = random.nextDouble(LARGEST_SERVICE);
            WorkspaceAccount account = queue.recordStart(next, expected);
            accounts.put(next.workspace(), account);
            running.add(new Started(account, expected));
            queue.add(item(id++, next.workspace()));
          } else {
            Started ended = running.remove(random.nextInt(running.size()));
            queue.charge(ended.account, random.nextDouble(LARGEST_SERVICE) - ended.charged);
            queue.recordEnd(ended.account);
          }
          assertGap(accounts, weights.size(), (slots + 1) * LARGEST_SERVICE);
        }
      }
    }

    private void assertGap(
        Map<String, WorkspaceAccount> accounts, int workspaceCount, double bound) {
      if (accounts.size() < workspaceCount) {
        return;
      }
      double smallest =
          accounts.values().stream().mapToDouble(a -> a.weightedService()).min().orElse(0);
      double largest =
          accounts.values().stream().mapToDouble(a -> a.weightedService()).max().orElse(0);
      assertThat(largest - smallest).isAtMost(bound);
    }
  }

  @Nested
  class Idle {
    /** Guards against a workspace that earns credit while it is idle. */
    @Test
    void workspaceIsRaisedToSmallestWaitingService() {
      FairQueue queue = new FairQueue(100, Map.of());
      for (int i = 0; i < 20; i++) {
        queue.add(item(i, "busy"));
      }
      for (int i = 0; i < 10; i++) {
        queue.recordStart(queue.peek(GenerationClass.STREAMED).orElseThrow(), 100);
      }
      queue.add(item(100, "idle"));
      WorkspaceAccount idle = queue.recordStart(item(100, "idle"), 0);
      assertThat(idle.weightedService()).isEqualTo(1_000.0);
    }
  }

  @Nested
  class Limit {
    /** Guards against an unbounded queue and against lost or duplicated items. */
    @Test
    void isKeptAndEachItemLeavesOnce() {
      SplittableRandom random = new SplittableRandom(5);
      FairQueue queue = new FairQueue(50, Map.of("w1", 3.0));
      Map<String, WorkItem> expected = new HashMap<>();
      for (int i = 0; i < 20_000; i++) {
        if (random.nextInt(5) < 3) {
          WorkItem item = item(i, "w" + random.nextInt(8));
          boolean added = queue.add(item);
          assertThat(added).isEqualTo(expected.size() < 50);
          if (added) {
            expected.put(item.requestId(), item);
          }
        } else if (random.nextBoolean()) {
          queue
              .peek(GenerationClass.STREAMED)
              .ifPresent(
                  item -> {
                    assertThat(expected.remove(item.requestId())).isEqualTo(item);
                    WorkspaceAccount account = queue.recordStart(item, random.nextInt(100));
                    queue.recordEnd(account);
                  });
        } else if (!expected.isEmpty()) {
          WorkItem withdrawn = expected.remove(expected.keySet().iterator().next());
          assertThat(queue.remove(withdrawn)).isTrue();
          assertThat(queue.remove(withdrawn)).isFalse();
        }
        assertThat(queue.size()).isEqualTo(expected.size());
      }
    }
  }
}
