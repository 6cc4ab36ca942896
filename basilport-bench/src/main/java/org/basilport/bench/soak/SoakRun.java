package org.basilport.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.basilport.event.InvariantViolation;

/** A soak run: random workload and faults on simulated processes, with checks of the guarantees. */
public final class SoakRun {
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration SETTLE_DURATION = Duration.ofSeconds(300);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
  private static final Duration BACKEND_RESTART_DELAY = Duration.ofSeconds(4);
  private static final Duration MAX_NEW_WORK_AFTER_LEAVING = Duration.ofSeconds(5);
  private static final int GENERATION_INTERVAL_MILLIS = 150;
  private static final int CALL_INTERVAL_MILLIS = 250;
  private static final int DEFERRED_INTERVAL_MILLIS = 1_500;
  private static final int CHANGE_INTERVAL_MILLIS = 6_000;
  private static final int POISON_INTERVAL_MILLIS = 50_000;

  private final SoakSettings settings;
  private final SoakSimulation simulation;
  private final SplittableRandom random;
  private final ConfigurationOperator operator;
  private final FaultInjector faults;
  private final List<DeferredCaller> deferred = new ArrayList<>();
  private final List<SimulatedBackend> restarting = new ArrayList<>();
  private Optional<PoisonCaller> poison = Optional.empty();
  private long callers;
  private long steps;
  private boolean stopped;

  /** Creates a run, which {@link #run} starts. */
  public SoakRun(SoakSettings settings) {
    this.settings = settings;
    this.simulation = new SoakSimulation(settings);
    this.random = simulation.random.split();
    this.operator = new ConfigurationOperator(simulation);
    this.faults = new FaultInjector(simulation);
  }

  /** Runs the configured number of steps, or until a guarantee is violated. */
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
    simulation.instances.forEach(SimulatedInstance::start);
    simulation.scheduler.schedule(Duration.ofSeconds(1), operator::applyFirst);
    simulation.scheduler.runFor(WARM_UP);
    for (SimulatedInstance instance : simulation.instances) {
      SoakCaller.require(
          instance.configurationNumber() > 0, "start", instance.id() + " has no configuration");
    }
  }

  private void startWorkload() {
    repeatAtRandomIntervals(
        GENERATION_INTERVAL_MILLIS, () -> new GenerationCaller(simulation, callers++).start());
    repeatAtRandomIntervals(
        CALL_INTERVAL_MILLIS, () -> new CallCaller(simulation, callers++).start());
    repeatAtRandomIntervals(DEFERRED_INTERVAL_MILLIS, this::submitDeferred);
    repeatAtRandomIntervals(CHANGE_INTERVAL_MILLIS, operator::applyChange);
    repeatAtRandomIntervals(POISON_INTERVAL_MILLIS, this::sendPoison);
    simulation.scheduler.scheduleRepeating(CHECK_INTERVAL, this::check);
    if (settings.faults()) {
      faults.injectNext();
    }
  }

  private void submitDeferred() {
    deferred.removeIf(caller -> !caller.outstanding());
    DeferredCaller caller = new DeferredCaller(simulation, callers++);
    deferred.add(caller);
    caller.start();
  }

  /** Sends one engine-crashing request at a time, so that each crash can be attributed to it. */
  private void sendPoison() {
    if (poison.isEmpty() || poison.get().finished()) {
      poison = Optional.of(new PoisonCaller(simulation, callers++));
      poison.get().start();
    }
  }

  /**
   * Repeats an action until the workload stops, with intervals that are uniformly distributed up to
   * twice the mean.
   */
  private void repeatAtRandomIntervals(int meanMillis, Runnable action) {
    if (stopped) {
      return;
    }
    int delay = 1 + random.nextInt(2 * meanMillis);
    simulation.scheduler.schedule(
        Duration.ofMillis(delay),
        () -> {
          if (!stopped) {
            action.run();
            repeatAtRandomIntervals(meanMillis, action);
          }
        });
  }

  private void runSteps(long limit) {
    while (steps < limit && simulation.scheduler.runNext()) {
      steps++;
    }
  }

  /** Stops workload and faults, and checks that all accepted deferred generations have finished. */
  private void settle() {
    stopped = true;
    faults.stop();
    simulation.instances.stream()
        .filter(SimulatedInstance::partitioned)
        .forEach(SimulatedInstance::heal);
    simulation.scheduler.runFor(SETTLE_DURATION);
    check();
    for (DeferredCaller caller : deferred) {
      SoakCaller.require(
          !caller.outstanding(), "G2", caller + " was accepted but has not finished");
    }
  }

  private void check() {
    operator.checkNoRollback();
    simulation.instances.forEach(SimulatedInstance::checkInvariants);
    for (SimulatedBackend backend : simulation.backends) {
      checkNoNewWork(backend);
      if (backend.down() && !restarting.contains(backend)) {
        handleCrash(backend);
      }
    }
  }

  private void handleCrash(SimulatedBackend backend) {
    restarting.add(backend);
    simulation.counts.add("backend.down");
    boolean injected = backend.crashInjected();
    simulation.recordFault(injected ? "death-planned" : "death-by-request", backend.id());
    if (!injected) {
      simulation.counts.add("backend.poisoned");
    }
    simulation.scheduler.schedule(
        BACKEND_RESTART_DELAY,
        () -> {
          restarting.remove(backend);
          backend.restart();
        });
  }

  private void checkNoNewWork(SimulatedBackend backend) {
    Duration latestStart =
        backend
            .engine()
            .map(engine -> engine.history().longestStartDelayAfterLeaving())
            .orElse(simulation.executions.longestStartDelayAfterLeaving());
    SoakCaller.require(
        latestStart.compareTo(MAX_NEW_WORK_AFTER_LEAVING) <= 0,
        "G5",
        backend.id()
            + " received new work "
            + latestStart.toMillis()
            + " ms after it began to leave");
  }

  private SoakReport report(Optional<String> violation) {
    return new SoakReport(
        settings.seed(),
        steps,
        simulation.virtualSeconds(),
        simulation.traceHash(),
        simulation.counts,
        violation,
        violation.isPresent() ? simulation.timeline() : "");
  }
}
