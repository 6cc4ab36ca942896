package org.basilport.bench.soak;

/**
 * Settings of a soak run.
 *
 * @param seed seed of all random choices
 * @param steps number of scheduler steps after which the workload stops
 * @param instances number of entry instances
 * @param engines number of model engines
 * @param serviceReplicas number of application service replicas
 * @param faults whether faults are injected
 */
public record SoakSettings(
    long seed, long steps, int instances, int engines, int serviceReplicas, boolean faults) {

  /** Returns settings of a run with faults on 7 entry instances, 8 engines and 3 replicas. */
  public static SoakSettings ofSeed(long seed, long steps) {
    return new SoakSettings(seed, steps, 7, 8, 3, true);
  }
}
