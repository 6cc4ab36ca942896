package org.basilport.bench.evenness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.basilport.policy.dispatch.MeanDuration;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.PeerReportAges;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.ServerLoad;
import org.basilport.policy.dispatch.ServerSelector;
import org.basilport.policy.dispatch.UsualResponseTime;

/** One run: instances that place random requests on servers by work of a given age. */
final class EvennessSimulation implements Variant.Fleet {
  private static final long SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long MICRO_NANOS = 1_000;

  private final ServerKind kind;
  private final Variant variant;
  private final long reportIntervalNanos;
  private final SplittableRandom random;
  private final List<SimulatedServer> servers = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Histogram waits = new Histogram(3);
  private final Histogram responses = new Histogram(3);
  private long eventCount;
  private long now;
  private int samples;
  private int unevenSamples;
  private double summedImbalance;

  /**
   * Creates a run.
   *
   * @param ageNanos mean age of the work of other instances; 0 if it is known at once
   */
  EvennessSimulation(
      ServerKind kind, Variant variant, int instanceCount, long ageNanos, long seed) {
    this.kind = kind;
    this.variant = variant;
    this.reportIntervalNanos = 2 * ageNanos;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < kind.servers; i++) {
      servers.add(new SimulatedServer(kind, random.split()));
    }
    for (int i = 0; i < instanceCount; i++) {
      instances.add(new Instance());
    }
  }

  /** Plays the given time after a warm-up. */
  Result run(long durationNanos) {
    at(0, this::arrive);
    at(WARM_UP_NANOS, this::sample);
    at(0, this::placeWaiting);
    if (reportIntervalNanos > 0) {
      instances.forEach(
          instance -> at(random.nextLong(reportIntervalNanos), () -> reportRepeatedly(instance)));
    }
    long end = WARM_UP_NANOS + durationNanos;
    while (events.peek().atNanos < end) {
      Event event = events.remove();
      now = event.atNanos;
      event.action.run();
    }
    return new Result(
        (double) unevenSamples / samples,
        summedImbalance / samples,
        waits.getMean() / 1e3,
        waits.getValueAtPercentile(99) / 1e3,
        responses.getMean() / 1e3);
  }

  private void at(long nanos, Runnable action) {
    events.add(new Event(nanos, eventCount++, action));
  }

  private void arrive() {
    double gap = -Math.log(1 - random.nextDouble()) * 1e9 / kind.arrivalsPerSecond(kind.servers);
    at(now + Math.max(1, (long) gap), this::arrive);
    int index = random.nextInt(instances.size());
    SimulatedRequest request = kind.draw(index, random);
    request.arrivedNanos = now;
    instances.get(index).queue.add(request);
    instances.get(index).place();
  }

  private void placeWaiting() {
    instances.forEach(Instance::place);
    at(now + SAMPLE_NANOS, this::placeWaiting);
  }

  private void reportRepeatedly(Instance instance) {
    instance.receiveReports();
    at(now + reportIntervalNanos, () -> reportRepeatedly(instance));
  }

  private void begin(SimulatedServer server) {
    for (SimulatedRequest next = server.begin(); next != null; next = server.begin()) {
      SimulatedRequest request = next;
      long start = server.prefillStart(now);
      long firstToken = request.prefillNanos > 0 ? server.prefill(request, now) : now;
      long wait = (request.prefillNanos > 0 ? start : now) - request.arrivedNanos;
      if (now >= WARM_UP_NANOS) {
        waits.recordValue(wait / MICRO_NANOS);
      }
      if (request.prefillNanos > 0) {
        at(firstToken, () -> instances.get(request.instance).onFirstToken(request));
      }
      long end = server.finish(firstToken, request.serviceNanos);
      at(end, () -> end(request));
    }
  }

  private void end(SimulatedRequest request) {
    SimulatedServer server = servers.get(request.server);
    server.end(request);
    server.total = server.total.minus(request.work);
    responses.recordValue((now - request.arrivedNanos) / MICRO_NANOS);
    begin(server);
    if (server.total.requests() < kind.slots) {
      instances.get(random.nextInt(instances.size())).announcements.add(request.server);
    }
    instances.get(request.instance).onEnd(request);
  }

  private void sample() {
    double sum = 0;
    double largest = 0;
    boolean queue = false;
    boolean room = false;
    for (SimulatedServer server : servers) {
      sum += server.load();
      largest = Math.max(largest, server.load());
      queue |= !server.waiting.isEmpty();
      room |= kind.hasRoom(server.total);
    }
    samples++;
    unevenSamples += queue && room ? 1 : 0;
    summedImbalance += sum > 0 ? largest * servers.size() / sum : 1;
    at(now + SAMPLE_NANOS, this::sample);
  }

  @Override
  public int servers() {
    return kind.servers;
  }

  @Override
  public int nextInstance() {
    return instances.size();
  }

  @Override
  public int granted(ServerLoad server, int instance, int slots) {
    int granted = 0;
    int first = Integer.parseInt(server.id()) * slots;
    for (int slot = first; slot < first + slots; slot++) {
      granted += slot % instances.size() == instance ? 1 : 0;
    }
    return granted;
  }

  @Override
  public Optional<Integer> announced(int instance) {
    return Optional.ofNullable(instances.get(instance).announcements.poll());
  }

  /** An instance with its view of the servers. */
  private final class Instance {
    final Queue<SimulatedRequest> queue = new ArrayDeque<>();
    final Queue<Integer> announcements = new ArrayDeque<>();
    final List<ServerLoad> loads = new ArrayList<>();
    final PeerReportAges ages = new PeerReportAges();
    final UsualResponseTime usual = new UsualResponseTime();
    final MeanDuration duration = new MeanDuration();
    final ServerSelector selector;

    Instance() {
      for (int i = 0; i < kind.servers; i++) {
        loads.add(new ServerLoad(Integer.toString(i), "a", kind.slots, kind.memoryTokens));
      }
      selector =
          variant.create(kind, EvennessSimulation.this, ages, duration::nanos, random.split());
    }

    void receiveReports() {
      ages.record("others", now);
      for (int i = 0; i < loads.size(); i++) {
        ServerLoad load = loads.get(i);
        load.setPeerWork(servers.get(i).total.minus(load.ownWork()), 0);
      }
    }

    void place() {
      if (queue.isEmpty()) {
        return;
      }
      if (reportIntervalNanos == 0) {
        receiveReports();
      }
      int failed = 0;
      for (SimulatedRequest request : List.copyOf(queue)) {
        Optional<ServerLoad> chosen = selector.select(loads, request.demand, now);
        if (chosen.isPresent()) {
          queue.remove(request);
          send(request, chosen.get());
        } else if (++failed == PendingRequestQueue.REJECTION_LIMIT) {
          return;
        }
      }
    }

    private void send(SimulatedRequest request, ServerLoad load) {
      request.server = Integer.parseInt(load.id());
      request.sentNanos = now;
      request.prefillTokensWhenSent =
          load.totalWork().pendingPrefillTokens() + request.demand.promptTokens();
      load.addOwnWork(request.work);
      SimulatedServer server = servers.get(request.server);
      server.total = server.total.plus(request.work);
      server.waiting.add(request);
      begin(server);
    }

    void onFirstToken(SimulatedRequest request) {
      ServerLoad load = loads.get(request.server);
      OutstandingWork decoding = new OutstandingWork(1, 0, request.demand.memoryTokens());
      load.removeOwnWork(request.work);
      load.addOwnWork(decoding);
      SimulatedServer server = servers.get(request.server);
      server.total = server.total.minus(request.work).plus(decoding);
      request.work = decoding;
      load.observeFirstToken(now - request.sentNanos, request.prefillTokensWhenSent);
      observe(load, (double) (now - request.sentNanos) / request.prefillTokensWhenSent);
    }

    void onEnd(SimulatedRequest request) {
      ServerLoad load = loads.get(request.server);
      load.removeOwnWork(request.work);
      duration.record(now - request.sentNanos);
      if (kind == ServerKind.APPLICATION) {
        observe(load, now - request.sentNanos);
      }
      place();
    }

    private void observe(ServerLoad load, double time) {
      if (variant.observesSpeed()) {
        SimulatedServer server = servers.get(Integer.parseInt(load.id()));
        load.speed().observeSlowdown((int) Math.round(100 * server.slowdown(now)), now);
        if (server.waiting.isEmpty()) {
          load.speed()
              .observeTime(usual.relative("", load.speed().withoutSlowdown(time, now)), now);
        }
      }
    }
  }

  private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atNanos != other.atNanos
          ? Long.compare(atNanos, other.atNanos)
          : Long.compare(order, other.order);
    }
  }

  /**
   * Result of a run.
   *
   * @param unevenShare share of time in which a server holds a queue while another has room
   * @param imbalance mean ratio of the largest load to the mean load
   * @param meanWaitMillis mean time from arrival to the start of processing
   */
  record Result(
      double unevenShare,
      double imbalance,
      double meanWaitMillis,
      double p99WaitMillis,
      double meanResponseMillis) {}
}
