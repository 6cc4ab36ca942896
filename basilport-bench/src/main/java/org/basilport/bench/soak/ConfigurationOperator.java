package org.basilport.bench.soak;

import java.time.Duration;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ConfigurationChange;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;

/** Applies competing configuration changes and checks that each accepted one comes into force. */
final class ConfigurationOperator extends SoakCaller {
  private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(3);

  private long nextChange;

  ConfigurationOperator(SoakSimulation simulation) {
    super(simulation);
  }

  /** Applies one change, or two concurrent changes that expect the same configuration number. */
  void applyChange() {
    SimulatedInstance first = pickInstance();
    long expectedNumber = first.configurationNumber();
    apply(first, expectedNumber);
    if (random.nextInt(3) == 0) {
      apply(pickInstance(), expectedNumber);
    }
  }

  /** Applies the initial configuration, before any other caller starts. */
  void applyFirst() {
    apply(simulation.instances.get(0), 0);
  }

  private void apply(SimulatedInstance instance, long expectedNumber) {
    String applyId = "apply-" + nextChange++;
    double weight = 1 + random.nextInt(9);
    ConfigurationChange change =
        new ConfigurationChange(
            applyId, "operator", expectedNumber, SoakConfiguration.withWeight(weight));
    afterLatency(
        () ->
            instance.request(
                router ->
                    router
                        .applyConfiguration(change)
                        .whenComplete((accepted, failure) -> onResult(accepted, failure))));
  }

  private void onResult(AcceptedConfiguration accepted, Throwable failure) {
    if (failure != null) {
      BasilportException cause =
          BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.CONFIGURE);
      simulation.counts.add("configuration.failure." + cause.code());
      return;
    }
    simulation.counts.add("configuration.accepted");
    simulation.addToTrace("configuration " + accepted.number());
    long acceptedNanos = simulation.scheduler.nanoTime();
    simulation.scheduler.schedule(
        IN_FORCE_LIMIT, () -> checkInForce(accepted.number(), acceptedNanos));
  }

  private void checkInForce(long number, long acceptedNanos) {
    for (SimulatedInstance instance : simulation.instances) {
      if (instance.undisturbedSince(acceptedNanos)) {
        long currentNumber = instance.configurationNumber();
        require(
            currentNumber >= number,
            "G7",
            instance.id()
                + " has configuration "
                + currentNumber
                + " 3 s after acceptance of "
                + number);
      }
    }
  }

  /** Checks that no live instance has returned to an earlier configuration. */
  void checkNoRollback() {
    simulation.instances.stream()
        .filter(instance -> !instance.killed())
        .forEach(SimulatedInstance::configurationNumber);
  }
}
