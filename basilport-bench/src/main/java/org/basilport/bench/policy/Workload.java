package org.basilport.bench.policy;

/**
 * Traffic and faults of one benchmark run.
 *
 * @param name name in reports
 * @param load offered load as a ratio of average memory demand to memory capacity
 * @param lagMillis delay of load reports and prefix cache events, in milliseconds
 * @param ageKnown whether a load report carries the time at which it was measured
 * @param lostEventShare fraction of prefix cache events that are lost, 0 to 1
 * @param loadShift whether load and traffic mix change halfway through the run
 * @param greedyFactor factor on the traffic of the greedy workspace; 1 for no greedy workspace
 * @param slowReplica whether one replica is three times slower than the others
 * @param crashingReplica whether one replica crashes halfway through the run
 */
public record Workload(
    String name,
    double load,
    long lagMillis,
    boolean ageKnown,
    double lostEventShare,
    boolean loadShift,
    double greedyFactor,
    boolean slowReplica,
    boolean crashingReplica) {
  private static final long DEFAULT_LAG_MILLIS = 1_000;

  /** Returns a steady workload without faults. */
  public static Workload steady(String name, double load) {
    return new Workload(name, load, DEFAULT_LAG_MILLIS, true, 0, false, 1, false, false);
  }

  /** Returns this workload with another delay of load reports and prefix cache events. */
  public Workload withLag(String newName, long millis, boolean known) {
    return new Workload(
        newName,
        load,
        millis,
        known,
        lostEventShare,
        loadShift,
        greedyFactor,
        slowReplica,
        crashingReplica);
  }

  /** Returns this workload with a fraction of the prefix cache events lost. */
  public Workload withLostEvents(String newName, double share) {
    return new Workload(
        newName,
        load,
        lagMillis,
        ageKnown,
        share,
        loadShift,
        greedyFactor,
        slowReplica,
        crashingReplica);
  }

  /** Returns this workload with a change of load and traffic mix halfway through the run. */
  public Workload withLoadShift(String newName) {
    return new Workload(
        newName,
        load,
        lagMillis,
        ageKnown,
        lostEventShare,
        true,
        greedyFactor,
        slowReplica,
        crashingReplica);
  }

  /** Returns this workload with one workspace that sends a multiple of its usual traffic. */
  public Workload withGreedy(String newName, double factor) {
    return new Workload(
        newName,
        load,
        lagMillis,
        ageKnown,
        lostEventShare,
        loadShift,
        factor,
        slowReplica,
        crashingReplica);
  }

  /** Returns this workload with one slow replica. */
  public Workload withSlowReplica(String newName) {
    return new Workload(
        newName,
        load,
        lagMillis,
        ageKnown,
        lostEventShare,
        loadShift,
        greedyFactor,
        true,
        crashingReplica);
  }

  /** Returns this workload with one replica that crashes. */
  public Workload withCrashingReplica(String newName) {
    return new Workload(
        newName,
        load,
        lagMillis,
        ageKnown,
        lostEventShare,
        loadShift,
        greedyFactor,
        slowReplica,
        true);
  }
}
