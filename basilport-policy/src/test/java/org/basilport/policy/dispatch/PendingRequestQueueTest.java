package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Plays crowded moments on the waiting line. */
class PendingRequestQueueTest {

  private static List<String> take(PendingRequestQueue<String> line) {
    List<String> taken = new ArrayList<>();
    line.dispatch(taken::add, 1);
    return taken;
  }

  /** Guards against urgent requests that wait behind less urgent ones. */
  @Test
  void ordersByPriorityThenArrival() {
    PendingRequestQueue<String> line = new PendingRequestQueue<>(10);
    line.add("late", 1);
    line.add("urgent", 0);
    line.add("later", 1);

    assertThat(take(line)).containsExactly("urgent", "late", "later").inOrder();
  }

  /** Guards against memory that grows with the load, and against urgent requests refused first. */
  @Test
  void dropsTheLeastUrgentWhenFull() {
    PendingRequestQueue<String> line = new PendingRequestQueue<>(1);
    line.add("first", 1);

    assertThat(line.add("second", 1)).isEmpty();
    assertThat(line.add("urgent", 0)).isPresent();
    assertThat(line.evictExcess()).hasValue("first");
    assertThat(line.size()).isEqualTo(1);
  }

  /** Guards against a long line whose every request is tried at each change. */
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

  /** Guards against a request that was withdrawn and is placed all the same. */
  @Test
  void forgetsWithdrawnRequests() {
    PendingRequestQueue<String> line = new PendingRequestQueue<>(10);
    PendingRequestQueue.Entry<String> entry = line.add("gone", 0).orElseThrow();

    assertThat(line.remove(entry)).isTrue();
    assertThat(line.remove(entry)).isFalse();
    assertThat(take(line)).isEmpty();
  }
}
