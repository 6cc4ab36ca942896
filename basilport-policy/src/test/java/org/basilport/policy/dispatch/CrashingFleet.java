package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Fleet on a virtual clock: each instance decides with a detector of its own, and reports are
 * delayed and lost. Engines crash as they begin to answer a prompt with the crashing part, or a
 * crashing request, and return after some seconds under another id.
 */
final class CrashingFleet {
  static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static final int KNOWN_CRASHES = 5;
  private static final int MAX_ATTEMPTS = 4;
  private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long FIRST_PART_OF_FIRST_ROUTE = 1_000;
  private static final long FIRST_CALLER_PART = 2_000;
  private static final int CALLER_PARTS = 20;
  private static final double CRASHING_PER_SECOND = 4;
  private static final long CRASHING_PART = 77;
  private static final long CRASHING_REQUEST = 78;

  /**
   * Size of a fleet and its load.
   *
   * @param soundPerSecond sound requests per second
   * @param shortAnswerMillis duration of every second answer
   * @param longAnswerMillis duration of the other answers
   * @param beforeFirstByte whether an engine crashes before the first byte of the crashing answer
   */
  record Size(
      int instances,
      int engines,
      double soundPerSecond,
      long shortAnswerMillis,
      long longAnswerMillis,
      boolean beforeFirstByte) {
    /** The largest deployment. */
    static final Size LARGEST = new Size(95, 28, 44, 100, 8_000, false);

    Size crashingBeforeTheFirstByte() {
      return new Size(
          instances, engines, soundPerSecond, shortAnswerMillis, longAnswerMillis, true);
    }
  }

  private final Size size;
  private final SplittableRandom random;
  private final int crashingPosition;
  private final double reportLoss;
  private final List<String> names;
  private final CellPartition cells;
  private final List<CrashingRequestDetector> instances = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Long.compare(a.order(), b.order()));
  private long now;
  private long nextFingerprint = 1_000_000;
  private int attributableCrashes;
  private long knownAt = Long.MAX_VALUE;
  private int lateSends;
  private int soundRequests;
  private int soundRejected;

  CrashingFleet(long seed, int crashingPosition, double reportLoss) {
    this(Size.LARGEST, seed, crashingPosition, reportLoss);
  }

  CrashingFleet(Size size, long seed, int crashingPosition, double reportLoss) {
    this.size = size;
    this.names = IntStream.range(0, size.instances()).mapToObj(i -> "instance-" + i).toList();
    this.cells = new CellPartition(names, List.of());
    this.random = new SplittableRandom(seed);
    this.crashingPosition = crashingPosition;
    this.reportLoss = reportLoss;
    names.forEach(name -> instances.add(new CrashingRequestDetector()));
    IntStream.range(0, size.engines()).forEach(i -> engines.add(new Engine(i)));
    for (int i = 0; i < size.instances(); i++) {
      heartbeat(i, 0);
    }
  }

  int lateSends() {
    return lateSends;
  }

  int attributableCrashes() {
    return attributableCrashes;
  }

  int soundRequests() {
    return soundRequests;
  }

  int soundRejected() {
    return soundRejected;
  }

  private void at(long delayNanos, Runnable action) {
    events.add(new Event(now + delayNanos, action));
  }

  void run(long durationNanos) {
    long end = now + durationNanos;
    while (!events.isEmpty() && events.peek().order() <= end) {
      Event event = events.poll();
      now = event.order();
      event.action().run();
    }
    now = end;
  }

  /** Sends sound requests of two routes for a time. */
  void sendSound(long durationNanos) {
    arrivals(durationNanos, size.soundPerSecond(), () -> startRequest(false));
  }

  /** Sends the same request, which crashes its engines, at an interval; it is not retried. */
  void sendCrashingRequest(int times, long intervalNanos) {
    RequestContent content =
        new RequestContent(CRASHING_REQUEST, List.of(FIRST_PART_OF_FIRST_ROUTE));
    for (int i = 0; i < times; i++) {
      at(
          i * intervalNanos,
          () -> {
            Request request = new Request(random.nextInt(size.instances()), content, true, 0);
            request.attempts = MAX_ATTEMPTS;
            send(request);
          });
    }
  }

  /** Sends requests with the crashing part for a time. */
  void sendCrashing(long durationNanos) {
    arrivals(durationNanos, CRASHING_PER_SECOND, () -> startRequest(true));
  }

  private void arrivals(long durationNanos, double perSecond, Runnable arrival) {
    long count = Math.round(perSecond * durationNanos / TimeUnit.SECONDS.toNanos(1));
    for (int i = 0; i < count; i++) {
      at(random.nextLong(durationNanos), arrival);
    }
  }

  /** Crashes a third of the engines at once, for a reason that no request has. */
  void crashDomain() {
    for (int i = 0; i < size.engines(); i += 3) {
      crash(engines.get(i), false);
    }
  }

  private void startRequest(boolean crashing) {
    long route = random.nextInt(2);
    List<Long> parts = new ArrayList<>();
    parts.add(FIRST_PART_OF_FIRST_ROUTE + route);
    parts.add(FIRST_CALLER_PART + random.nextInt(CALLER_PARTS));
    if (crashing) {
      parts.add(crashingPosition, CRASHING_PART);
    }
    RequestContent content = new RequestContent(nextFingerprint++, parts);
    long answerMillis = route == 0 ? size.shortAnswerMillis() : size.longAnswerMillis();
    Request request =
        new Request(
            random.nextInt(size.instances()), content, crashing, answerMillis * MILLI_NANOS);
    soundRequests += crashing ? 0 : 1;
    send(request);
  }

  private void send(Request request) {
    if (instances.get(request.instance).quarantine(request.content, now).isPresent()) {
      soundRejected += request.crashing ? 0 : 1;
      return;
    }
    List<Engine> live = engines.stream().filter(engine -> engine.live).toList();
    if (live.isEmpty()) {
      return;
    }
    Engine engine = live.get(random.nextInt(live.size()));
    request.attempts++;
    request.answering = false;
    lateSends += request.crashing && now - CONTACT_NANOS > knownAt ? 1 : 0;
    engine.running.add(request);
    int boot = engine.boot;
    at((100 + random.nextLong(300)) * MILLI_NANOS, () -> beginAnswer(request, engine, boot));
  }

  private void beginAnswer(Request request, Engine engine, int boot) {
    if (engine.boot != boot || !engine.live) {
      return;
    }
    if (request.crashing && size.beforeFirstByte()) {
      crash(engine, true);
      return;
    }
    request.answering = true;
    if (request.crashing) {
      at(30 * MILLI_NANOS, () -> crashAt(engine, boot));
      return;
    }
    long proof = Math.min(request.answerNanos, 500 * MILLI_NANOS);
    at(proof, () -> proveSound(request, engine, boot));
    at(request.answerNanos, () -> engine.running.remove(request));
  }

  private void proveSound(Request request, Engine engine, int boot) {
    if (engine.boot == boot && engine.live) {
      request.sound = true;
      instances.get(request.instance).recordSound(request.content, now);
    }
  }

  private void crashAt(Engine engine, int boot) {
    if (engine.boot == boot && engine.live) {
      crash(engine, true);
    }
  }

  private void crash(Engine engine, boolean attributable) {
    engine.live = false;
    if (attributable && ++attributableCrashes == KNOWN_CRASHES) {
      knownAt = now;
    }
    List<Request> lost = List.copyOf(engine.running);
    engine.running.clear();
    String id = engine.id();
    for (Request request : lost) {
      if (!request.sound) {
        instances
            .get(request.instance)
            .recordLostConnection(request.content, request.answering, id, 1, now);
        at(60 * MILLI_NANOS, () -> confirm(request.instance, id));
      }
      if (request.attempts < MAX_ATTEMPTS && !request.sound) {
        at(MILLI_NANOS, () -> send(request));
      }
    }
    at((2_000 + random.nextLong(2_000)) * MILLI_NANOS, () -> restart(engine));
  }

  private void restart(Engine engine) {
    engine.boot++;
    engine.live = true;
  }

  private void confirm(int instance, String engineId) {
    if (instances.get(instance).recordDeadServer(engineId, 1, now)) {
      at(15 * MILLI_NANOS, () -> report(instance, names));
    }
  }

  private void heartbeat(int instance, int count) {
    at(
        400 * MILLI_NANOS,
        () -> {
          int own = cells.cellOf(names.get(instance));
          List<String> receivers =
              names.stream()
                  .filter(
                      name ->
                          cells.cellOf(name) == own
                              || (count % 3 == 0
                                  && cells.neighbours(own).contains(cells.cellOf(name))))
                  .toList();
          report(instance, receivers);
          heartbeat(instance, count + 1);
        });
  }

  private void report(int sender, List<String> receivers) {
    CrashingRequestDetector from = instances.get(sender);
    Map<CrashEvidence, Long> crashes = from.recentCrashes(now);
    Map<CrashEvidence, Long> crashAges = new HashMap<>();
    crashes.forEach((crash, at) -> crashAges.put(crash, ReportedAge.notEarlier(at, now)));
    Map<Long, Long> soundAges = new HashMap<>();
    from.soundSuspects(now)
        .forEach((content, at) -> soundAges.put(content, ReportedAge.notLater(at, now)));
    List<Quarantine> quarantines = from.quarantines(now);
    if (crashes.isEmpty() && quarantines.isEmpty()) {
      return;
    }
    for (String receiver : receivers) {
      int index = names.indexOf(receiver);
      if (index != sender && random.nextDouble() >= reportLoss) {
        at(
            (1 + random.nextLong(20)) * MILLI_NANOS,
            () -> receive(index, crashAges, soundAges, quarantines));
      }
    }
  }

  private void receive(
      int receiver,
      Map<CrashEvidence, Long> crashAges,
      Map<Long, Long> soundAges,
      List<Quarantine> quarantines) {
    CrashingRequestDetector to = instances.get(receiver);
    soundAges.forEach((content, age) -> to.addSound(content, ReportedAge.toNanos(age, now)));
    boolean[] added = new boolean[1];
    crashAges.forEach(
        (evidence, age) -> {
          boolean isNew = to.addCrash(evidence, ReportedAge.toNanos(age, now), now);
          if (isNew) {
            to.recordDeadServer(evidence.serverId(), 1, now);
            added[0] = true;
          }
        });
    quarantines.forEach(quarantine -> to.addQuarantine(quarantine, now));
    if (added[0]) {
      int own = cells.cellOf(names.get(receiver));
      List<String> cell = names.stream().filter(name -> cells.cellOf(name) == own).toList();
      at(15 * MILLI_NANOS, () -> report(receiver, cell));
    }
  }

  /** Replaces all instances by new ones, to which an action may pass what was stored. */
  void restartInstances(Consumer<CrashingRequestDetector> afterStart) {
    for (int i = 0; i < size.instances(); i++) {
      CrashingRequestDetector started = new CrashingRequestDetector();
      afterStart.accept(started);
      instances.set(i, started);
    }
    engines.forEach(engine -> engine.running.clear());
  }

  /** The quarantines that an instance knows. */
  List<Quarantine> quarantines(int instance) {
    return instances.get(instance).quarantines(now);
  }

  private record Event(long order, Runnable action) {}

  private static final class Request {
    private final int instance;
    private final RequestContent content;
    private final boolean crashing;
    private final long answerNanos;
    private int attempts;
    private boolean answering;
    private boolean sound;

    Request(int instance, RequestContent content, boolean crashing, long answerNanos) {
      this.instance = instance;
      this.content = content;
      this.crashing = crashing;
      this.answerNanos = answerNanos;
    }
  }

  private static final class Engine {
    private final int index;
    private final List<Request> running = new ArrayList<>();
    private int boot;
    private boolean live = true;

    Engine(int index) {
      this.index = index;
    }

    String id() {
      return "engine-" + index + "-" + boot;
    }
  }
}
