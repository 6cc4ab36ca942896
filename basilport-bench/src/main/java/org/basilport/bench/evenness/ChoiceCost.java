package org.basilport.bench.evenness;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.PeerReportAges;
import org.basilport.policy.dispatch.ServerLoad;
import org.basilport.policy.dispatch.ServerSelector;
import org.basilport.policy.dispatch.StaleWorkSelector;
import org.basilport.policy.dispatch.StaleWorkSelector.ChoiceListener;

/** Measures the processor time of one choice. */
final class ChoiceCost {
  private static final int ROUNDS = 6;
  private static final int CHOICES = 10_000;
  private static final int INSTANCES = 300;

  /** Short enough for the values to remain recent until the last round. */
  private static final long CHOICE_INTERVAL_NANOS = TimeUnit.MICROSECONDS.toNanos(10);

  private static final long NOW_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private ChoiceCost() {}

  /** Processor time of a choice in the last round, in microseconds. */
  static double measureMicros(ServerKind kind, int serverCount, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<ServerLoad> servers = new ArrayList<>();
    for (int i = 0; i < serverCount; i++) {
      ServerLoad server = new ServerLoad("s" + i, "a", kind.slots, kind.memoryTokens);
      int requests = random.nextInt(kind.slots);
      server.setPeerWork(new OutstandingWork(requests, 0, 900L * requests), 0);
      server.speed().observeSlowdown(random.nextInt(7) == 0 ? 250 : 100, NOW_NANOS);
      server.speed().observeTime(0.5 + random.nextDouble(), NOW_NANOS);
      servers.add(server);
    }
    PeerReportAges ages = new PeerReportAges();
    for (int i = 0; i < INSTANCES; i++) {
      ages.record("i" + i, random.nextLong(NOW_NANOS));
    }
    ServerSelector selector =
        new StaleWorkSelector(
            kind == ServerKind.ENGINE
                ? kind.engineSelector(random)
                : kind.applicationSelector(random),
            ages::heartbeatNanos,
            () -> TimeUnit.SECONDS.toNanos(1),
            ChoiceListener.NONE,
            random);
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    double micros = 0;
    long now = NOW_NANOS;
    for (int round = 0; round < ROUNDS; round++) {
      long start = threads.getCurrentThreadCpuTime();
      for (int i = 0; i < CHOICES; i++) {
        now += CHOICE_INTERVAL_NANOS;
        selector.select(servers, kind.draw(0, random).demand, now).orElseThrow();
      }
      micros = (threads.getCurrentThreadCpuTime() - start) / 1e3 / CHOICES;
    }
    return micros;
  }
}
