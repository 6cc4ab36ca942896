package org.basilport.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.basilport.misc.Cancellable;

/** What callers of all kinds share: the choice of an instance and patience. */
abstract class SoakCaller {
  static final Duration NETWORK_LATENCY = Duration.ofMillis(3);
  static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(8);
  static final Duration RETRY_DELAY = Duration.ofMillis(700);
  static final int MAX_ATTEMPTS = 8;

  final SoakWorld world;
  final SplittableRandom random;
  private Cancellable timer = () -> {};

  SoakCaller(SoakWorld world) {
    this.world = world;
    this.random = world.random.split();
  }

  /** Picks an instance as a caller with an answer that may be old. */
  SimulatedInstance pickInstance() {
    List<SimulatedInstance> alive =
        world.instances.stream().filter(instance -> !instance.killed()).toList();
    List<SimulatedInstance> pool = alive.isEmpty() ? world.instances : alive;
    return pool.get(random.nextInt(pool.size()));
  }

  /** Runs an action on the caller's side after the network's latency. */
  void later(Runnable action) {
    world.scheduler.schedule(NETWORK_LATENCY, action);
  }

  void startTimer(Duration delay, Runnable onTimeout) {
    timer.cancel();
    timer = world.scheduler.schedule(delay, onTimeout);
  }

  void stopTimer() {
    timer.cancel();
  }

  /** Throws when a guarantee does not hold. */
  static void require(boolean condition, String guarantee, String detail) {
    if (!condition) {
      throw new SoakViolation(guarantee, detail);
    }
  }
}
