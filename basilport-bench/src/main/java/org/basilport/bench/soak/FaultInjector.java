package org.basilport.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.basilport.standin.platform.PlatformFaults;
import org.basilport.standin.service.ServiceFault;

/** Injects random faults of instances, backend servers and the platform, one or two at a time. */
final class FaultInjector {
  private static final Duration LEAVING_NOTICE = Duration.ofSeconds(12);
  private static final Duration RESTART_DELAY = Duration.ofSeconds(3);

  private final SoakSimulation simulation;
  private final SplittableRandom random;
  private final List<Runnable> faults;
  private boolean stopped;

  FaultInjector(SoakSimulation simulation) {
    this.simulation = simulation;
    this.random = simulation.random.split();
    this.faults =
        List.of(
            this::killInstance,
            this::pauseInstance,
            this::drainInstance,
            this::partitionInstance,
            this::crashBackend,
            this::stallEngine,
            this::disconnectReaders,
            this::markBackendLeaving,
            this::injectFrameFaults,
            this::injectServiceFaults,
            this::startPlatformOutage,
            this::slowPlatform,
            this::loseWriteResponses);
  }

  /** Injects one fault, or two at once, and schedules the next injection. */
  void injectNext() {
    if (stopped) {
      return;
    }
    faults.get(random.nextInt(faults.size())).run();
    if (random.nextInt(3) == 0) {
      faults.get(random.nextInt(faults.size())).run();
    }
    schedule(seconds(2, 10), this::injectNext);
  }

  /** Stops injecting faults and ends the faults of the platform. */
  void stop() {
    stopped = true;
    simulation.platform.faults().outage(false);
    simulation.platform.faults().additionalLatency(Duration.ZERO);
    simulation.platform.faults().loseWriteResponses(0);
  }

  private Duration seconds(int from, int to) {
    return Duration.ofMillis(1_000L * from + random.nextInt(1_000 * (to - from)));
  }

  private void schedule(Duration delay, Runnable action) {
    simulation.scheduler.schedule(delay, action);
  }

  private <T> T pick(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }

  /** Runs an action with a random accepting instance; skips it when at most three accept. */
  private void withInstance(Consumer<SimulatedInstance> action) {
    List<SimulatedInstance> accepting =
        simulation.instances.stream().filter(SimulatedInstance::accepting).toList();
    if (accepting.size() > 3) {
      action.accept(pick(accepting));
    }
  }

  private void killInstance() {
    withInstance(
        instance -> {
          simulation.recordFault("instance-killed", instance.id());
          instance.kill();
          schedule(RESTART_DELAY, instance::start);
        });
  }

  private void pauseInstance() {
    withInstance(
        instance -> {
          simulation.recordFault("instance-paused", instance.id());
          instance.pause();
          schedule(seconds(1, 15), instance::resume);
        });
  }

  private void drainInstance() {
    withInstance(
        instance -> {
          simulation.recordFault("instance-drained", instance.id());
          instance
              .drain()
              .thenRun(
                  () ->
                      schedule(
                          Duration.ofSeconds(1),
                          () -> {
                            if (!instance.killed()) {
                              replaceDrained(instance);
                            }
                          }));
        });
  }

  private void replaceDrained(SimulatedInstance instance) {
    SoakCaller.require(
        instance.connectionsFromBeforeDrain() == 0,
        "G6",
        instance.id()
            + " ended its drain with "
            + instance.connectionsFromBeforeDrain()
            + " open streams");
    simulation.counts.add("instance.drained");
    instance.kill();
    schedule(RESTART_DELAY, instance::start);
  }

  private void partitionInstance() {
    withInstance(
        instance -> {
          boolean peers = random.nextBoolean();
          simulation.recordFault(
              "partition", instance.id() + (peers ? " from peers" : " from platform"));
          instance.partition(peers, !peers || random.nextBoolean());
          schedule(
              seconds(2, 15),
              () -> {
                if (instance.partitioned()) {
                  instance.heal();
                }
              });
        });
  }

  private void crashBackend() {
    SimulatedBackend backend = pick(simulation.backends);
    if (!backend.down()) {
      simulation.recordFault("backend-crashed", backend.id());
      backend.crash();
    }
  }

  private void stallEngine() {
    SimulatedBackend backend = pick(simulation.engines());
    simulation.recordFault("engine-stalled", backend.id());
    backend.engine().orElseThrow().stallStreams(seconds(1, 5));
  }

  private void disconnectReaders() {
    SimulatedBackend backend = pick(simulation.engines());
    simulation.recordFault("readers-cut", backend.id());
    backend.engine().orElseThrow().disconnectAllReaders();
  }

  private void markBackendLeaving() {
    SimulatedBackend backend = pick(simulation.backends);
    if (backend.down()) {
      return;
    }
    simulation.recordFault("backend-leaving", backend.id());
    backend.markLeaving(random.nextBoolean());
    schedule(LEAVING_NOTICE, backend::crash);
  }

  private void injectFrameFaults() {
    SimulatedBackend backend = pick(simulation.engines());
    simulation.recordFault("frames", backend.id());
    var engineFaults = backend.engine().orElseThrow().faults();
    engineFaults.duplicateFrames(0.1);
    engineFaults.reorderFrames(0.05);
    engineFaults.unknownGenerationFrames(0.05);
    schedule(
        seconds(2, 8),
        () -> {
          engineFaults.duplicateFrames(0);
          engineFaults.reorderFrames(0);
          engineFaults.unknownGenerationFrames(0);
        });
  }

  private void injectServiceFaults() {
    simulation.recordFault("services", "");
    setServiceFaults(0.15);
    schedule(seconds(2, 10), () -> setServiceFaults(0));
  }

  private void setServiceFaults(double probability) {
    for (SimulatedBackend backend : simulation.backends) {
      backend
          .service()
          .ifPresent(
              service -> {
                for (ServiceFault fault : ServiceFault.values()) {
                  service.faults().probability(fault, probability);
                }
              });
    }
  }

  private void startPlatformOutage() {
    simulation.recordFault("platform-outage", "");
    PlatformFaults platform = simulation.platform.faults();
    platform.outage(true);
    schedule(seconds(2, 25), () -> platform.outage(false));
  }

  private void slowPlatform() {
    simulation.recordFault("platform-slow", "");
    PlatformFaults platform = simulation.platform.faults();
    platform.additionalLatency(seconds(1, 3));
    schedule(seconds(2, 15), () -> platform.additionalLatency(Duration.ZERO));
  }

  private void loseWriteResponses() {
    simulation.recordFault("write-answers-lost", "");
    PlatformFaults platform = simulation.platform.faults();
    platform.loseWriteResponses(0.5);
    schedule(seconds(2, 10), () -> platform.loseWriteResponses(0));
  }
}
