package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PendingRequestQueueTest {

  private static List<String> take(PendingRequestQueue<String> line) {
    List<String> taken = new ArrayList<>();
    line.dispatch(taken::add, 1);
    return taken;
  }

  /** Guards against requests of high priority that wait behind requests of lower priority. */
  @Test
  void ordersByPriorityThenArrival() {
    PendingRequestQueue<String> line = new PendingRequestQueue<>(10);
    line.add("late", 1);
    line.add("urgent", 0);
    line.add("later", 1);

    assertThat(take(line)).containsExactly("urgent", "late", "later").inOrder();
  }

  /** Guards against memory that grows with the load, and against refusing high priority first. */
  @Test
  void dropsTheLeastUrgentWhenFull() {
    PendingRequestQueue<String> line = new PendingRequestQueue<>(1);
    line.add("first", 1);

    assertThat(line.add("second", 1)).isEmpty();
    assertThat(line.add("urgent", 0)).isPresent();
    assertThat(line.evictExcess()).hasValue("first");
    assertThat(line.size()).isEqualTo(1);
  }

  /** Guards against trying every request of a long queue at each change. */
  @Test
  void stopsAfterSomeRefusals() {
    PendingRequestQueue<String> line = new PendingRequestQueue<>(100);
    for (int i = 0; i < 50; i++) {
      line.add("request-" + i, 0);
    }
    List<String> offered = new ArrayList<>();
    line.dispatch(
        request -> {
          offered.add(request);
          return false;
        },
        4);

    assertThat(offered).hasSize(4);
    assertThat(line.size()).isEqualTo(50);
  }

  /** Guards against placing a request that was withdrawn. */
  @Test
  void forgetsWithdrawnRequests() {
    PendingRequestQueue<String> line = new PendingRequestQueue<>(10);
    PendingRequestQueue.Entry<String> entry = line.add("gone", 0).orElseThrow();

    assertThat(line.remove(entry)).isTrue();
    assertThat(line.remove(entry)).isFalse();
    assertThat(take(line)).isEmpty();
  }
}
