package org.basilport.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.basilport.standin.platform.PlatformFaults;
import org.basilport.standin.service.ServiceFault;

/** Injects the faults of the environment at random moments, alone and two at a time. */
final class FaultInjector {
  private static final Duration LEAVING_NOTICE = Duration.ofSeconds(12);
  private static final Duration RESTART_DELAY = Duration.ofSeconds(3);

  private final SoakWorld world;
  private final SplittableRandom random;
  private final List<Runnable> faults;
  private boolean stopped;

  FaultInjector(SoakWorld world) {
    this.world = world;
    this.random = world.random.split();
    this.faults =
        List.of(
            this::killInstance,
            this::pauseInstance,
            this::drainInstance,
            this::partitionInstance,
            this::crashBackend,
            this::stallEngine,
            this::cutReaders,
            this::leaveBackend,
            this::disturbFrames,
            this::disturbServices,
            this::platformOutage,
            this::platformSlow,
            this::loseWriteAnswers);
  }

  /** Injects one fault, or two at once, and plans the next. */
  void next() {
    if (stopped) {
      return;
    }
    faults.get(random.nextInt(faults.size())).run();
    if (random.nextInt(3) == 0) {
      faults.get(random.nextInt(faults.size())).run();
    }
    after(seconds(2, 10), this::next);
  }

  /** Injects no more faults and ends those that last. */
  void stop() {
    stopped = true;
    world.platform.faults().outage(false);
    world.platform.faults().slowness(Duration.ZERO);
    world.platform.faults().loseWriteAnswers(0);
  }

  private Duration seconds(int from, int to) {
    return Duration.ofMillis(1_000L * from + random.nextInt(1_000 * (to - from)));
  }

  private void after(Duration delay, Runnable action) {
    world.scheduler.schedule(delay, action);
  }

  private <T> T pick(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }

  /** A running instance, unless too few would be left. */
  private void withInstance(Consumer<SimulatedInstance> action) {
    List<SimulatedInstance> accepting =
        world.instances.stream().filter(SimulatedInstance::accepting).toList();
    if (accepting.size() > 3) {
      action.accept(pick(accepting));
    }
  }

  private void killInstance() {
    withInstance(
        instance -> {
          world.noteFault("instance-killed", instance.id());
          instance.kill();
          after(RESTART_DELAY, instance::start);
        });
  }

  private void pauseInstance() {
    withInstance(
        instance -> {
          world.noteFault("instance-paused", instance.id());
          instance.pause();
          after(seconds(1, 15), instance::resume);
        });
  }

  private void drainInstance() {
    withInstance(
        instance -> {
          world.noteFault("instance-drained", instance.id());
          instance
              .drain()
              .thenRun(
                  () ->
                      after(
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
            + " streams");
    world.counts.add("instance.drained");
    instance.kill();
    after(RESTART_DELAY, instance::start);
  }

  private void partitionInstance() {
    withInstance(
        instance -> {
          boolean peers = random.nextBoolean();
          world.noteFault("partition", instance.id() + (peers ? " from peers" : " from platform"));
          instance.partition(peers, !peers || random.nextBoolean());
          after(
              seconds(2, 15),
              () -> {
                if (instance.partitioned()) {
                  instance.heal();
                }
              });
        });
  }

  private void crashBackend() {
    SimulatedBackend backend = pick(world.backends);
    if (!backend.down()) {
      world.noteFault("backend-crashed", backend.id());
      backend.crash();
    }
  }

  private void stallEngine() {
    SimulatedBackend backend = pick(world.engines());
    world.noteFault("engine-stalled", backend.id());
    backend.engine().orElseThrow().stallStreams(seconds(1, 5));
  }

  private void cutReaders() {
    SimulatedBackend backend = pick(world.engines());
    world.noteFault("readers-cut", backend.id());
    backend.engine().orElseThrow().cutAllReaders();
  }

  private void leaveBackend() {
    SimulatedBackend backend = pick(world.backends);
    if (backend.down()) {
      return;
    }
    world.noteFault("backend-leaving", backend.id());
    backend.leave(random.nextBoolean());
    after(LEAVING_NOTICE, backend::crash);
  }

  private void disturbFrames() {
    SimulatedBackend backend = pick(world.engines());
    world.noteFault("frames", backend.id());
    var engineFaults = backend.engine().orElseThrow().faults();
    engineFaults.duplicateFrames(0.1);
    engineFaults.reorderFrames(0.05);
    engineFaults.foreignFrames(0.05);
    after(
        seconds(2, 8),
        () -> {
          engineFaults.duplicateFrames(0);
          engineFaults.reorderFrames(0);
          engineFaults.foreignFrames(0);
        });
  }

  private void disturbServices() {
    world.noteFault("services", "");
    setServiceFaults(0.15);
    after(seconds(2, 10), () -> setServiceFaults(0));
  }

  private void setServiceFaults(double probability) {
    for (SimulatedBackend backend : world.backends) {
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

  private void platformOutage() {
    world.noteFault("platform-outage", "");
    PlatformFaults platform = world.platform.faults();
    platform.outage(true);
    after(seconds(2, 25), () -> platform.outage(false));
  }

  private void platformSlow() {
    world.noteFault("platform-slow", "");
    PlatformFaults platform = world.platform.faults();
    platform.slowness(seconds(1, 3));
    after(seconds(2, 15), () -> platform.slowness(Duration.ZERO));
  }

  private void loseWriteAnswers() {
    world.noteFault("write-answers-lost", "");
    PlatformFaults platform = world.platform.faults();
    platform.loseWriteAnswers(0.5);
    after(seconds(2, 10), () -> platform.loseWriteAnswers(0));
  }
}
