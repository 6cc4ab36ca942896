package org.basilport.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.policy.dispatch.NamedLimit;
import org.basilport.protocol.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Limits of servers that two instances tell each other. */
class LimitReportsTest {
  private static final String SERVER = "server-1";
  private static final OptionalDouble LIMIT = OptionalDouble.of(2.5);
  private static final int REPORTS = 50;

  /** Time from the writing of a report to its reading. */
  private static final long TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final ServerTable first = table("first");
  private final ServerTable second = table("second");
  private boolean delayed;

  /** Monotonic time of both instances while they tell each other. */
  private long nowNanos;

  private ServerTable table(String instance) {
    ServerTable servers =
        new ServerTable(instance, eventLoops.next(), new TestCodec(), EventSink.none());
    servers.update(
        List.of(
            new ServerEntry(SERVER, 1, "app", "v1", "127.0.0.1", 1, "a", 6, false, Duration.ZERO)),
        new ForwardingConfiguration(
            1,
            FrontendLimits.INITIAL,
            List.of(),
            Map.of("app", new ForwardingService("app", 10, Optional.empty())),
            false,
            Map.of()),
        "test");
    return servers;
  }

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully();
  }

  private static BackendServer server(ServerTable servers) {
    return servers.server(SERVER).orElseThrow();
  }

  private static NamedLimit limit(ServerTable servers) {
    return servers.limits().reportable(System.nanoTime()).get(server(servers));
  }

  private void tell(ServerTable sender, ServerTable receiver) {
    LoadReport.Builder report = LoadReport.newBuilder();
    new LimitReports(sender, () -> false, () -> nowNanos).write(report);
    nowNanos += TRANSIT_NANOS;
    new LimitReports(receiver, () -> delayed, () -> nowNanos).read(report.build());
  }

  /** Guards against a limit that two instances renew by telling it to each other. */
  @Test
  void keepsTheTimesOfALimitThatComesBack() throws Exception {
    first.limits().record(server(first), LIMIT);
    nowNanos = System.nanoTime();
    NamedLimit told = limit(first);
    for (int i = 0; i < REPORTS; i++) {
      tell(first, second);
      tell(second, first);
    }

    assertThat(limit(first)).isEqualTo(told);
    assertThat(server(second).load().admission().rateLimit().isPresent()).isTrue();
  }

  /** Guards against an ended limit that lives on where its end was told too early. */
  @Test
  void repeatsTheEndOfALimitWhileTheServerNamesNone() throws Exception {
    first.limits().record(server(first), LIMIT);
    second.limits().record(server(second), OptionalDouble.of(3));
    second.limits().record(server(second), OptionalDouble.empty());
    TimeUnit.MILLISECONDS.sleep(50);
    first.limits().record(server(first), LIMIT);
    TimeUnit.MILLISECONDS.sleep(1_100);
    second.limits().record(server(second), OptionalDouble.empty());
    nowNanos = System.nanoTime();
    tell(second, first);

    assertThat(server(first).load().admission().rateLimit().isPresent()).isFalse();
  }

  /** Guards against a limit that was reported before a pause and is taken for new after it. */
  @Test
  void ignoresReportsThatWaitedDuringAPause() throws Exception {
    first.limits().record(server(first), LIMIT);
    nowNanos = System.nanoTime();
    delayed = true;
    tell(first, second);

    assertThat(server(second).load().admission().rateLimit().isPresent()).isFalse();
  }
}
