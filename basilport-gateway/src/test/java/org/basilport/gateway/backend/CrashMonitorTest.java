package org.basilport.gateway.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.basilport.event.EventSink;
import org.basilport.policy.dispatch.CrashingRequestDetector;
import org.junit.jupiter.api.Test;

class CrashMonitorTest {
  /** Guards against a stored time that rejects requests for good. */
  @Test
  void limitsStoredQuarantines() {
    DefaultEventLoop eventLoop = new DefaultEventLoop();
    CrashMonitor monitor = new CrashMonitor(eventLoop, EventSink.none());
    monitor.addStored(
        List.of(
            new StoredQuarantine(1, Instant.ofEpochMilli(Long.MAX_VALUE)),
            new StoredQuarantine(2, Instant.ofEpochMilli(Long.MIN_VALUE))));
    long now = System.nanoTime();
    long later = now + CrashingRequestDetector.QUARANTINE.plus(Duration.ofSeconds(1)).toNanos();
    eventLoop.shutdownGracefully();

    assertThat(monitor.detector().quarantines(now)).hasSize(1);
    assertThat(monitor.detector().quarantines(later)).isEmpty();
  }
}
