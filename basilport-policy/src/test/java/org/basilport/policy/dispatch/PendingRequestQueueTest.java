package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PendingRequestQueueTest {

  private static List<String> dispatchAll(PendingRequestQueue<String> queue) {
    List<String> taken = new ArrayList<>();
    queue.dispatch(taken::add, request -> "", 1);
    return taken;
  }

  /** Guards against requests of high priority that wait behind requests of lower priority. */
  @Test
  void ordersByPriorityThenArrival() {
    PendingRequestQueue<String> queue = new PendingRequestQueue<>(10);
    queue.add("late", 1);
    queue.add("urgent", 0);
    queue.add("later", 1);

    assertThat(dispatchAll(queue)).containsExactly("urgent", "late", "later").inOrder();
  }

  /** Guards against memory that grows with the load, and against rejecting high priority first. */
  @Test
  void evictsLowestPriorityWhenFull() {
    PendingRequestQueue<String> queue = new PendingRequestQueue<>(1);
    queue.add("first", 1);

    assertThat(queue.add("second", 1)).isEmpty();
    assertThat(queue.add("urgent", 0)).isPresent();
    assertThat(queue.evictExcess()).hasValue("first");
    assertThat(queue.size()).isEqualTo(1);
  }

  /** Guards against trying every request of a long queue at each change. */
  @Test
  void stopsAtRejectionLimit() {
    PendingRequestQueue<String> queue = new PendingRequestQueue<>(100);
    for (int i = 0; i < 50; i++) {
      queue.add("request-" + i, 0);
    }
    List<String> offered = new ArrayList<>();
    queue.dispatch(
        request -> {
          offered.add(request);
          return false;
        },
        request -> "",
        4);

    assertThat(offered).hasSize(4);
    assertThat(queue.size()).isEqualTo(50);
  }

  /** Guards against streams that wait for a full version and hold up all other requests. */
  @Test
  void offersRequestsBehindAGroupThatCannotBePlaced() {
    PendingRequestQueue<String> queue = new PendingRequestQueue<>(100);
    for (int i = 0; i < 20; i++) {
      queue.add("v1", 0);
    }
    queue.add("any", 1);
    List<String> offered = new ArrayList<>();
    queue.dispatch(
        request -> {
          offered.add(request);
          return request.equals("any");
        },
        request -> request,
        4);

    assertThat(offered).containsExactly("v1", "v1", "v1", "v1", "any").inOrder();
    assertThat(queue.size()).isEqualTo(20);
  }

  /** Guards against placing a request that was withdrawn. */
  @Test
  void removesWithdrawnRequests() {
    PendingRequestQueue<String> queue = new PendingRequestQueue<>(10);
    PendingRequestQueue.Entry<String> entry = queue.add("gone", 0).orElseThrow();

    assertThat(queue.remove(entry)).isTrue();
    assertThat(queue.remove(entry)).isFalse();
    assertThat(dispatchAll(queue)).isEmpty();
  }
}
