package org.basilport.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.backend.CrashMonitor;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.policy.dispatch.CrashEvidence;
import org.basilport.policy.dispatch.Quarantine;
import org.basilport.policy.dispatch.RequestContent;
import org.basilport.protocol.LoadReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Evidence of crashes that two instances tell each other. */
class CrashReportsTest {
  private static final long PART = 7;
  private static final long QUARANTINED_PART = 8;
  private static final int REPORTS = 50;

  /** Time from the writing of a report to its reading. */
  private static final long TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final CrashMonitor first = monitor("first");
  private final CrashMonitor second = monitor("second");
  private boolean delayed;

  /** Monotonic time of both instances. */
  private long nowNanos = System.nanoTime();

  private CrashMonitor monitor(String instance) {
    return new ServerTable(instance, eventLoops.next(), new TestCodec(), EventSink.none())
        .crashMonitor();
  }

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully();
  }

  private void tell(CrashMonitor sender, CrashMonitor receiver) {
    LoadReport.Builder report = LoadReport.newBuilder();
    new CrashReports(sender, () -> false, () -> nowNanos).write(report);
    nowNanos += TRANSIT_NANOS;
    new CrashReports(receiver, () -> delayed, () -> nowNanos).read(report.build());
  }

  private void observe(CrashMonitor monitor) {
    long now = nowNanos;
    RequestContent content = new RequestContent(1, List.of(PART));
    monitor.recordReportedCrash(new CrashEvidence(content, true, "server", 1), now);
    monitor.detector().addSound(PART, now);
    monitor
        .detector()
        .addQuarantine(
            new Quarantine(QUARANTINED_PART, now, now + TimeUnit.SECONDS.toNanos(60)), now);
  }

  /** Guards against evidence that two instances renew by telling it to each other. */
  @Test
  void keepsTheTimesOfEvidenceThatComesBack() throws Exception {
    observe(first);
    long soundAt = first.detector().soundSuspects(nowNanos).get(PART);
    long until = first.detector().quarantines(nowNanos).get(0).untilNanos();
    for (int i = 0; i < REPORTS; i++) {
      tell(first, second);
      tell(second, first);
    }

    long now = nowNanos;
    assertThat(second.detector().quarantines(now)).hasSize(1);
    assertThat(first.detector().soundSuspects(now).get(PART)).isEqualTo(soundAt);
    assertThat(first.detector().quarantines(now).get(0).untilNanos()).isEqualTo(until);
  }

  /** Guards against evidence that was received before a pause and is taken for new after it. */
  @Test
  void ignoresReportsThatWaitedDuringAPause() throws Exception {
    observe(first);
    delayed = true;
    tell(first, second);
    assertThat(second.detector().quarantines(nowNanos)).isEmpty();
    delayed = false;
    tell(first, second);

    assertThat(second.detector().quarantines(nowNanos)).hasSize(1);
  }
}
