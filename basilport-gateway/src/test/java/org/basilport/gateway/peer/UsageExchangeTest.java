package org.basilport.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.forward.Contention;
import org.basilport.gateway.forward.ForwardingState;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;
import org.basilport.misc.LoopbackPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Usage that instances send each other over datagrams. */
class UsageExchangeTest {
  private static final long WORKSPACE = 42;
  private static final double TOKENS = 1e9;
  private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private TestInstance first;
  private TestInstance second;

  @BeforeEach
  void start() throws Exception {
    first = new TestInstance("first");
    second = new TestInstance("second");
    List<InstanceEntry> entries =
        List.of(
            new InstanceEntry(first.id, first.address),
            new InstanceEntry(second.id, second.address));
    first.start(entries);
    second.start(entries);
  }

  @AfterEach
  void stop() throws Exception {
    first.exchange.stop().get(10, TimeUnit.SECONDS);
    second.exchange.stop().get(10, TimeUnit.SECONDS);
    eventLoops.shutdownGracefully();
  }

  /** Guards against usage that is not written to heartbeats, or not read from them. */
  @Test
  void reachesTheOtherInstance() throws Exception {
    EventLoop loop = eventLoops.next();
    loop.submit(() -> first.contention.usage().charge(WORKSPACE, TOKENS, System.nanoTime())).get();
    double tokens = 0;
    long start = System.nanoTime();
    while (tokens == 0 && System.nanoTime() - start < LIMIT_NANOS) {
      Thread.sleep(20);
      tokens =
          loop.submit(() -> second.contention.usage().tokens(WORKSPACE, System.nanoTime())).get();
    }
    assertThat(tokens).isGreaterThan(0);
    assertThat(tokens).isAtMost(TOKENS);
  }

  /** Instance of the fleet. */
  private final class TestInstance {
    private final String id;
    private final InetSocketAddress address = LoopbackPorts.freeAddress();
    private final Contention contention = new Contention(new SplittableRandom(1));
    private final ForwardingState state;
    private final LoadExchange exchange;

    TestInstance(String id) throws IOException {
      this.id = id;
      EventLoop loop = eventLoops.next();
      this.state =
          new ForwardingState(
              "a",
              true,
              new RetryLimits(0.2, 50, TimeUnit.SECONDS.toNanos(10)),
              new ServerTable(id, loop, new TestCodec(), EventSink.none()),
              EventSink.none(),
              new SplittableRandom(1));
      state.shareQueues(contention);
      this.exchange = new LoadExchange(address, loop, id, false, id, state, EventSink.none());
    }

    void start(List<InstanceEntry> entries) throws Exception {
      exchange.start().get(10, TimeUnit.SECONDS);
      eventLoops
          .next()
          .submit(
              () -> {
                state.applyConfiguration(
                    new ForwardingConfiguration(
                        1, FrontendLimits.INITIAL, List.of(), Map.of(), false, Map.of()),
                    "test");
                exchange.updateInstances(entries);
              })
          .get(10, TimeUnit.SECONDS);
    }
  }
}
