package org.basilport.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.basilport.misc.Cancellable;

/** Base class of the simulated callers: choice of an instance, network latency and timeouts. */
abstract class SoakCaller {
  static final Duration NETWORK_LATENCY = Duration.ofMillis(3);
  static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(8);
  static final Duration RETRY_DELAY = Duration.ofMillis(700);
  static final int MAX_ATTEMPTS = 8;

  final SoakSimulation simulation;
  final SplittableRandom random;
  private Cancellable timer = () -> {};

  SoakCaller(SoakSimulation simulation) {
    this.simulation = simulation;
    this.random = simulation.random.split();
  }

  /**
   * Returns a random instance that has not been killed, or any instance when all are killed. It may
   * be paused, partitioned or draining, since callers choose from addresses that may be stale.
   */
  SimulatedInstance pickInstance() {
    List<SimulatedInstance> alive =
        simulation.instances.stream().filter(instance -> !instance.killed()).toList();
    List<SimulatedInstance> pool = alive.isEmpty() ? simulation.instances : alive;
    return pool.get(random.nextInt(pool.size()));
  }

  /** Runs an action after the network latency, outside all instances. */
  void afterLatency(Runnable action) {
    simulation.scheduler.schedule(NETWORK_LATENCY, action);
  }

  void startTimer(Duration delay, Runnable onTimeout) {
    timer.cancel();
    timer = simulation.scheduler.schedule(delay, onTimeout);
  }

  void stopTimer() {
    timer.cancel();
  }

  /** Throws {@link SoakViolation} when the condition is false. */
  static void require(boolean condition, String guarantee, String detail) {
    if (!condition) {
      throw new SoakViolation(guarantee, detail);
    }
  }
}
