package org.basilport.gateway.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.config.FrontendLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Pauses that servers ask this instance for. */
class ServerPausesTest {
  private static final long INSTANCES = 350;

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final List<String> events = new ArrayList<>();
  private final ServerTable table =
      new ServerTable(
          "i",
          eventLoop,
          new TestCodec(),
          (type, subject, arguments) -> events.add(type + " " + Arrays.toString(arguments)));

  @BeforeEach
  void list() {
    update(entry(1));
  }

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully();
  }

  private void update(ServerEntry... entries) {
    table.update(
        List.of(entries),
        new ForwardingConfiguration(
            1,
            FrontendLimits.INITIAL,
            List.of(),
            Map.of("s", new ForwardingService("s", 10, Optional.empty())),
            false,
            Map.of()),
        "test");
  }

  private static ServerEntry entry(long incarnation) {
    return new ServerEntry(
        "server-1", incarnation, "s", "v1", "127.0.0.1", 1, "a", 6, false, Duration.ZERO);
  }

  private boolean record(Duration told) {
    return table.pauses().record(entry(1), table.server("server-1"), "r1", told);
  }

  private long millisToEnd() {
    return TimeUnit.NANOSECONDS.toMillis(
        table
            .server("server-1")
            .orElseThrow()
            .load()
            .admission()
            .pause()
            .nanosToEnd(System.nanoTime()));
  }

  /** Guards against an event and a sweep of the queue for each answer of a burst. */
  @Test
  void reportsAPauseOnce() {
    assertThat(record(Duration.ofSeconds(30))).isTrue();
    assertThat(record(Duration.ofSeconds(30))).isFalse();
    assertThat(record(Duration.ofSeconds(40))).isTrue();

    assertThat(table.pauses().notices().getCount()).isEqualTo(2);
    assertThat(events)
        .containsAtLeast(
            "BACKEND_PAUSED [r1, server-1, 1, 30000]", "BACKEND_PAUSED [r1, server-1, 1, 40000]")
        .inOrder();
  }

  /** Guards against hundreds of instances that ask a server at the same moment. */
  @Test
  void endsOneAfterTheOther() {
    table.pauses().setRank((int) INSTANCES - 1);
    record(Duration.ofSeconds(30));

    assertThat(millisToEnd()).isAtLeast(30_900);
    assertThat(millisToEnd()).isAtMost(31_000);
  }

  /** Guards against a server that a faulty value excludes for good. */
  @Test
  void areAtMostADayLong() {
    record(Duration.ofSeconds(1_000_000_000));

    assertThat(millisToEnd()).isAtMost(Duration.ofDays(1).toMillis());
    assertThat(millisToEnd()).isAtLeast(Duration.ofHours(23).toMillis());
  }

  /** Guards against a pause that ends with the entry, or that holds for another start. */
  @Test
  void holdForOneStart() {
    record(Duration.ofSeconds(30));
    update();
    update(entry(1));
    assertThat(millisToEnd()).isAtLeast(29_000);
    update(entry(2));
    assertThat(millisToEnd()).isEqualTo(0);
  }

  /** Guards against losing a pause that is told while the entry is missing. */
  @Test
  void holdIfTheyAreToldWhileTheEntryIsMissing() {
    update();
    record(Duration.ofSeconds(30));
    update(entry(1));

    assertThat(millisToEnd()).isAtLeast(29_000);
  }
}
