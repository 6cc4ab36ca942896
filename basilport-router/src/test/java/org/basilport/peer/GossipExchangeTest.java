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
  private static final int ALLOWED_BYTES = 10 * GossipRateLimiter.BYTES_PER_SECOND + 24_000;
  private final VirtualScheduler scheduler =
      new VirtualScheduler(Instant.parse("2026-03-02T08:00:00Z"));
  private final InProcessPeerNetwork network =
      new InProcessPeerNetwork(scheduler, new SplittableRandom(1));
  private final HybridLogicalClock clock =
      new HybridLogicalClock(() -> scheduler.now().toEpochMilli());
  private final Timeline timeline = new Timeline("a", clock, 100);
  private final GossipExchange exchange =
      new GossipExchange("a", clock, network.connector("a"), scheduler, timeline);

  /** Adds as many bytes as the limit allows, or a fixed positive number that ignores the limit. */
  private static GossipParticipant fillingParticipant(int fixedBytes) {
    return new GossipParticipant() {
      @Override
      public void contribute(GossipMessage.Builder message, int maxBytes) {
        int length = fixedBytes > 0 ? fixedBytes : Math.max(0, maxBytes - 10);
        message.addSuspicions(SuspicionEntry.newBuilder().setFingerprint("x".repeat(length)));
      }

      @Override
      public void receive(GossipMessage message) {}
    };
  }

  // Guards against bursts of exchanges that exceed the gossip rate limit.
  @Test
  void messageSizeDecreasesWithMessageRate() {
    exchange.addParticipant(fillingParticipant(0));
    for (int i = 0; i < 4_000; i++) {
      exchange.exchangeWith(List.of("b"));
      scheduler.runFor(Duration.ofMillis(5));
    }
    assertThat(network.gossipBytes()).isAtMost(2L * ALLOWED_BYTES);
    assertThat(network.gossipMessages()).isGreaterThan(500);
  }

  // Guards against replies to many peers that exceed the gossip rate limit.
  @Test
  void rejectsExchangesOverLimit() {
    exchange.addParticipant(fillingParticipant(5_000));
    RejectedException rejection =
        assertThrows(
            RejectedException.class,
            () -> {
              for (int i = 0; i < 100; i++) {
                exchange.respond(GossipMessage.getDefaultInstance());
              }
            });
    assertThat(rejection).hasMessageThat().contains("too much gossip");
  }

  // Verifies that the invariant check fails when messages are not limited.
  @Test
  void assertionFailsWithoutRateLimit() {
    GossipRateLimiter rateLimiter = new GossipRateLimiter(timeline, 0);
    InvariantViolation violation =
        assertThrows(
            InvariantViolation.class,
            () -> {
              for (int i = 0; i < 100; i++) {
                rateLimiter.recordSent(2_500, i * Duration.ofMillis(50).toNanos());
              }
            });
    assertThat(violation).hasMessageThat().contains("gossip-byte-rate");
  }
}
