package org.basilport.bench.soak;

/**
 * Settings of a randomised run.
 *
 * @param seed seed of every random choice
 * @param steps number of scheduler steps after which the workload stops
 * @param instances number of entry instances
 * @param engines number of model engines
 * @param services number of plain service replicas
 * @param faults whether faults are injected
 */
public record SoakSettings(
    long seed, long steps, int instances, int engines, int services, boolean faults) {

  /** Settings of a run at today's size. */
  public static SoakSettings ofSeed(long seed, long steps) {
    return new SoakSettings(seed, steps, 7, 8, 3, true);
  }
}
