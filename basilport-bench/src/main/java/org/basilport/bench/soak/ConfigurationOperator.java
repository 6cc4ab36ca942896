package org.basilport.bench.soak;

import java.time.Duration;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ConfigurationChange;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;

/** Operators who race each other with changes, and the check that accepted ones are in force. */
final class ConfigurationOperator extends SoakCaller {
  private static final Duration IN_FORCE_WITHIN = Duration.ofSeconds(3);

  private long changes;

  ConfigurationOperator(SoakWorld world) {
    super(world);
  }

  /** Applies one change, or two at once that expect the same number. */
  void applyChange() {
    SimulatedInstance first = pickInstance();
    long expected = first.numberInForce();
    apply(first, expected);
    if (random.nextInt(3) == 0) {
      apply(pickInstance(), expected);
    }
  }

  /** Applies the first configuration before any other caller starts. */
  void applyFirst() {
    apply(world.instances.get(0), 0);
  }

  private void apply(SimulatedInstance instance, long expected) {
    String applyId = "apply-" + changes++;
    double weight = 1 + random.nextInt(9);
    ConfigurationChange change =
        new ConfigurationChange(
            applyId, "operator", expected, SoakConfiguration.withWeight(weight));
    later(
        () ->
            instance.request(
                router ->
                    router
                        .applyConfiguration(change)
                        .whenComplete((accepted, failure) -> answered(accepted, failure))));
  }

  private void answered(AcceptedConfiguration accepted, Throwable failure) {
    if (failure != null) {
      BasilportException cause =
          BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.CONFIGURE);
      world.counts.add("configuration.failure." + cause.code());
      return;
    }
    world.counts.add("configuration.accepted");
    world.trace("configuration " + accepted.number());
    long acceptedNanos = world.scheduler.nanoTime();
    world.scheduler.schedule(IN_FORCE_WITHIN, () -> checkInForce(accepted.number(), acceptedNanos));
  }

  private void checkInForce(long number, long acceptedNanos) {
    for (SimulatedInstance instance : world.instances) {
      if (instance.undisturbedSince(acceptedNanos)) {
        long inForce = instance.numberInForce();
        require(
            inForce >= number,
            "G7",
            instance.id() + " has configuration " + inForce + " 3 s after " + number);
      }
    }
  }

  /** Checks that no instance went back to a smaller number. */
  void checkNumbers() {
    world.instances.stream()
        .filter(instance -> !instance.killed())
        .forEach(SimulatedInstance::numberInForce);
  }
}
