package org.basilport.gateway.forward;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.basilport.event.EventSink;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.gateway.config.ColdStartLimits;
import org.basilport.gateway.config.PlacementRules;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;
import org.basilport.gateway.message.ServerNotice;
import org.basilport.gateway.message.ServerResponse;
import org.basilport.policy.dispatch.EarliestFirstTokenSelector;
import org.basilport.policy.dispatch.LeastOccupiedSelector;
import org.basilport.policy.dispatch.ServerLoad;
import org.basilport.policy.dispatch.StaleWorkSelector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Choice of the selectors, and what responses tell of the speed of servers. */
class LoadSharingTest {
  private static final PlacementRules SHARING =
      new PlacementRules(Optional.of(new ColdStartLimits(1.5, 5)), Optional.empty(), "", Map.of());

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final ServerLoad server = new ServerLoad("s", "a", 6, 0);

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully();
  }

  private static Optional<LoadSharing> sharing(PlacementRules rules) {
    return LoadSharing.of(rules, new MetricRegistry(), new SplittableRandom(1));
  }

  private ForwardingState state(PlacementRules rules) {
    ForwardingState state =
        new ForwardingState(
            "a",
            true,
            new RetryLimits(0.2, 50, 1),
            new ServerTable("this", eventLoops.next(), new TestCodec(), EventSink.none()),
            EventSink.none(),
            new SplittableRandom(1));
    state.setLoadSharing(sharing(rules));
    return state;
  }

  private static ServerResponse response(boolean signed, OptionalInt slowdownPercent) {
    return new ServerResponse(
        Optional.empty(),
        200,
        signed,
        false,
        false,
        OptionalInt.empty(),
        OptionalDouble.empty(),
        false,
        OptionalInt.empty(),
        ServerNotice.NONE,
        slowdownPercent);
  }

  /** Guards against a changed choice of servers in deployments that do not ask for it. */
  @Test
  void keepsTheFormerSelectorsWithoutSharedLoad() {
    ForwardingState state = state(PlacementRules.NONE);
    assertThat(state.selector("model", true)).isInstanceOf(EarliestFirstTokenSelector.class);
    assertThat(state.selector("plain", false)).isInstanceOf(LeastOccupiedSelector.class);
  }

  /** Guards against all instances choosing the same server in deployments with hard load. */
  @Test
  void usesTheAgeOfReportsWithSharedLoad() {
    ForwardingState state = state(SHARING);
    assertThat(state.selector("model", true)).isInstanceOf(StaleWorkSelector.class);
    assertThat(state.selector("plain", false)).isNotInstanceOf(LeastOccupiedSelector.class);
  }

  /**
   * Guards against a speed that changes by a response without the value, or by one that is not the
   * server's own.
   */
  @Test
  void readsTheSlowdownOfOwnResponses() {
    LoadSharing sharing = sharing(SHARING).orElseThrow();
    sharing.recordHead(server, response(true, OptionalInt.empty()));
    sharing.recordHead(server, response(false, OptionalInt.of(900)));
    assertThat(server.speed().slowdown(System.nanoTime())).isEqualTo(1.0);

    // Read at a time before the response, so that the age of the value has no effect.
    long before = System.nanoTime();
    sharing.recordHead(server, response(true, OptionalInt.of(250)));
    assertThat(server.speed().slowdown(before)).isAtLeast(2.5);
  }

  /**
   * Guards against a server that looks faster the slower its machine is, because its times are
   * corrected twice for the same slowdown.
   */
  @Test
  void correctsATimeOnceForTheSlowdown() {
    LoadSharing sharing = sharing(SHARING).orElseThrow();
    ServerLoad slowed = new ServerLoad("slowed", "a", 6, 0);
    sharing.recordHead(slowed, response(true, OptionalInt.of(250)));
    for (int i = 0; i < 200; i++) {
      sharing.recordTime(server, "call", 40);
      sharing.recordTime(slowed, "call", 100);
    }
    assertThat(slowed.speed().longTerm(System.nanoTime())).isWithin(0.1).of(1.0);
  }

  /** Guards against a division by the tokens of a stream that is taken up without a prompt. */
  @Test
  void ignoresFirstTokensWithoutAPrompt() {
    LoadSharing sharing = sharing(SHARING).orElseThrow();
    sharing.recordFirstToken("model", server, Duration.ofMillis(100).toNanos(), 0);
    assertThat(server.speed().longTerm(System.nanoTime())).isEqualTo(1.0);
  }
}
