package org.basilport.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import org.basilport.error.RejectedException;
import org.basilport.event.HybridLogicalClock;
import org.basilport.event.InvariantViolation;
import org.basilport.event.Timeline;
import org.basilport.misc.VirtualScheduler;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.SuspicionEntry;
import org.junit.jupiter.api.Test;

class GossipExchangeTest {
  private static final int ALLOWED = 10 * GossipBudget.BYTES_PER_SECOND + 24_000;
  private final VirtualScheduler scheduler =
      new VirtualScheduler(Instant.parse("2026-03-02T08:00:00Z"));
  private final InProcessPeerNetwork network =
      new InProcessPeerNetwork(scheduler, new SplittableRandom(1));
  private final HybridLogicalClock clock =
      new HybridLogicalClock(() -> scheduler.now().toEpochMilli());
  private final Timeline timeline = new Timeline("a", clock, 100);
  private final GossipExchange exchange =
      new GossipExchange("a", clock, network.connector("a"), scheduler, timeline);

  /** Adds as many bytes as there is room for, or a fixed number that ignores the room. */
  private static GossipParticipant filling(int ignoringRoom) {
    return new GossipParticipant() {
      @Override
      public void contribute(GossipMessage.Builder message, int roomBytes) {
        int length = ignoringRoom > 0 ? ignoringRoom : Math.max(0, roomBytes - 10);
        message.addSuspicions(SuspicionEntry.newBuilder().setFingerprint("x".repeat(length)));
      }

      @Override
      public void receive(GossipMessage message) {}
    };
  }

  // Guards against bursts of pushes that exceed the bytes for gossip.
  @Test
  void messagesBecomeSmallerWhenThereAreMore() {
    exchange.addParticipant(filling(0));
    for (int i = 0; i < 4_000; i++) {
      exchange.exchangeWith(List.of("b"));
      scheduler.runFor(Duration.ofMillis(5));
    }
    assertThat(network.gossipBytes()).isAtMost(2L * ALLOWED);
    assertThat(network.gossipMessages()).isGreaterThan(500);
  }

  // Guards against an instance whose answers to many peers exceed the bytes for gossip.
  @Test
  void refusesToAnswerWhenItHasSentTooMuch() {
    exchange.addParticipant(filling(5_000));
    RejectedException refusal =
        assertThrows(
            RejectedException.class,
            () -> {
              for (int i = 0; i < 100; i++) {
                exchange.answer(GossipMessage.getDefaultInstance());
              }
            });
    assertThat(refusal).hasMessageThat().contains("too much gossip");
  }

  // Shows that the assertion fires when nothing holds messages back.
  @Test
  void assertionFailsWithoutTheLimit() {
    GossipBudget budget = new GossipBudget(timeline, 0);
    InvariantViolation violation =
        assertThrows(
            InvariantViolation.class,
            () -> {
              for (int i = 0; i < 100; i++) {
                budget.sent(2_500, i * Duration.ofMillis(50).toNanos());
              }
            });
    assertThat(violation).hasMessageThat().contains("gossip-byte-rate");
  }
}
