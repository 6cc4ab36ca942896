package org.basilport.misc;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class VirtualSchedulerTest {
  private final VirtualScheduler scheduler = new VirtualScheduler(Instant.EPOCH);
  private final List<String> ran = new ArrayList<>();

  @Nested
  class Order {
    /** Guards against traces that differ between runs with the same seed. */
    @Test
    void tasksWithTheSameDueTimeRunInTheOrderOfScheduling() {
      scheduler.schedule(Duration.ofMillis(2), () -> ran.add("later"));
      scheduler.schedule(Duration.ofMillis(1), () -> ran.add("first"));
      scheduler.schedule(Duration.ofMillis(1), () -> ran.add("second"));

      scheduler.runFor(Duration.ofMillis(5));

      assertThat(ran).containsExactly("first", "second", "later").inOrder();
      assertThat(scheduler.now()).isEqualTo(Instant.EPOCH.plusMillis(5));
    }
  }

  @Nested
  class Cancellation {
    /** Guards against a repeating task that continues after its cancellation. */
    @Test
    void aCancelledRepeatingTaskDoesNotRunAgain() {
      Cancellable repeating =
          scheduler.scheduleRepeating(Duration.ofMillis(1), () -> ran.add("tick"));
      scheduler.runFor(Duration.ofMillis(3));
      repeating.cancel();

      scheduler.runFor(Duration.ofMillis(3));

      assertThat(ran).hasSize(3);
    }
  }
}
