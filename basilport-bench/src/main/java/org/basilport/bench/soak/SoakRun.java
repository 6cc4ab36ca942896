package org.basilport.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.basilport.event.InvariantViolation;

/** One randomised run: workload, faults and checks over simulated processes. */
public final class SoakRun {
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration SETTLE = Duration.ofSeconds(300);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
  private static final Duration BACKEND_RESTART_DELAY = Duration.ofSeconds(4);
  private static final Duration NO_NEW_WORK_AFTER = Duration.ofSeconds(5);
  private static final int GENERATION_INTERVAL_MILLIS = 150;
  private static final int CALL_INTERVAL_MILLIS = 250;
  private static final int DEFERRED_INTERVAL_MILLIS = 1_500;
  private static final int CHANGE_INTERVAL_MILLIS = 6_000;
  private static final int POISON_INTERVAL_MILLIS = 50_000;

  private final SoakSettings settings;
  private final SoakWorld world;
  private final SplittableRandom random;
  private final ConfigurationOperator operator;
  private final FaultInjector faults;
  private final List<DeferredCaller> deferred = new ArrayList<>();
  private final List<SimulatedBackend> restarting = new ArrayList<>();
  private Optional<PoisonCaller> poison = Optional.empty();
  private long callers;
  private long steps;
  private boolean stopped;

  /** Creates a run; nothing happens before {@link #run}. */
  public SoakRun(SoakSettings settings) {
    this.settings = settings;
    this.world = new SoakWorld(settings);
    this.random = world.random.split();
    this.operator = new ConfigurationOperator(world);
    this.faults = new FaultInjector(world);
  }

  /** Runs until the steps are used up or a guarantee is broken. */
  public SoakReport run() {
    try {
      startInstances();
      startWorkload();
      runSteps(settings.steps());
      settle();
      return report(Optional.empty());
    } catch (SoakViolation | InvariantViolation violation) {
      return report(Optional.of(violation.getMessage()));
    }
  }

  private void startInstances() {
    world.instances.forEach(SimulatedInstance::start);
    world.scheduler.schedule(Duration.ofSeconds(1), operator::applyFirst);
    world.scheduler.runFor(WARM_UP);
    for (SimulatedInstance instance : world.instances) {
      SoakCaller.require(
          instance.numberInForce() > 0, "start", instance.id() + " has no configuration");
    }
  }

  private void startWorkload() {
    repeat(GENERATION_INTERVAL_MILLIS, () -> new GenerationCaller(world, callers++).start());
    repeat(CALL_INTERVAL_MILLIS, () -> new CallCaller(world, callers++).start());
    repeat(DEFERRED_INTERVAL_MILLIS, this::submitDeferred);
    repeat(CHANGE_INTERVAL_MILLIS, operator::applyChange);
    repeat(POISON_INTERVAL_MILLIS, this::sendPoison);
    world.scheduler.scheduleRepeating(CHECK_INTERVAL, this::check);
    if (settings.faults()) {
      faults.next();
    }
  }

  private void submitDeferred() {
    deferred.removeIf(caller -> !caller.outstanding());
    DeferredCaller caller = new DeferredCaller(world, callers++);
    deferred.add(caller);
    caller.start();
  }

  /** Sends one poisonous request at a time, so that each death can be attributed to it. */
  private void sendPoison() {
    if (poison.isEmpty() || poison.get().finished()) {
      poison = Optional.of(new PoisonCaller(world, callers++));
      poison.get().start();
    }
  }

  /** Runs an action with random gaps around a mean, until the workload stops. */
  private void repeat(int meanMillis, Runnable action) {
    if (stopped) {
      return;
    }
    int delay = 1 + random.nextInt(2 * meanMillis);
    world.scheduler.schedule(
        Duration.ofMillis(delay),
        () -> {
          if (!stopped) {
            action.run();
            repeat(meanMillis, action);
          }
        });
  }

  private void runSteps(long limit) {
    while (steps < limit && world.scheduler.runNext()) {
      steps++;
    }
  }

  /** Ends workload and faults, and checks that everything that was accepted is finished. */
  private void settle() {
    stopped = true;
    faults.stop();
    world.instances.stream()
        .filter(SimulatedInstance::partitioned)
        .forEach(SimulatedInstance::heal);
    world.scheduler.runFor(SETTLE);
    check();
    for (DeferredCaller caller : deferred) {
      SoakCaller.require(!caller.outstanding(), "G2", caller + " was accepted and not finished");
    }
  }

  private void check() {
    operator.checkNumbers();
    world.instances.forEach(SimulatedInstance::checkInvariants);
    for (SimulatedBackend backend : world.backends) {
      checkLeaving(backend);
      if (backend.down() && !restarting.contains(backend)) {
        noteDeath(backend);
      }
    }
  }

  private void noteDeath(SimulatedBackend backend) {
    restarting.add(backend);
    world.counts.add("backend.down");
    boolean planned = backend.diedAsPlanned();
    world.noteFault(planned ? "death-planned" : "death-by-request", backend.id());
    if (!planned) {
      world.counts.add("backend.poisoned");
    }
    world.scheduler.schedule(
        BACKEND_RESTART_DELAY,
        () -> {
          restarting.remove(backend);
          backend.restart();
        });
  }

  private void checkLeaving(SimulatedBackend backend) {
    Duration latest =
        backend
            .engine()
            .map(engine -> engine.history().latestStartAfterLeaving())
            .orElse(world.executions.latestStartAfterLeaving());
    SoakCaller.require(
        latest.compareTo(NO_NEW_WORK_AFTER) <= 0,
        "G5",
        backend.id() + " got new work " + latest.toMillis() + " ms after it was leaving");
  }

  private SoakReport report(Optional<String> violation) {
    return new SoakReport(
        settings.seed(),
        steps,
        world.virtualSeconds(),
        world.traceHash(),
        world.counts,
        violation,
        violation.isPresent() ? world.timeline() : "");
  }
}
