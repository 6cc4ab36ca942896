package org.basilport.bench.policy;

/**
 * Traffic and faults of one run.
 *
 * @param name name in reports
 * @param load offered memory use over memory capacity
 * @param lagMillis age of reports and cache events when they arrive, in milliseconds
 * @param ageKnown whether a report carries the time at which it was measured
 * @param lostEvents share of cache events that are lost
 * @param termStart whether load and mix shift in the middle
 * @param greedyFactor factor on the traffic of the greedy workspace, 1 for none
 * @param slowReplica whether one replica is three times slower
 * @param dyingReplica whether one replica dies in the middle
 */
public record Workload(
    String name,
    double load,
    long lagMillis,
    boolean ageKnown,
    double lostEvents,
    boolean termStart,
    double greedyFactor,
    boolean slowReplica,
    boolean dyingReplica) {
  private static final long USUAL_LAG_MILLIS = 1_000;

  /** Returns a steady workload without faults. */
  public static Workload steady(String name, double load) {
    return new Workload(name, load, USUAL_LAG_MILLIS, true, 0, false, 1, false, false);
  }

  /** Returns this workload with another lag of reports. */
  public Workload withLag(String newName, long millis, boolean known) {
    return new Workload(
        newName,
        load,
        millis,
        known,
        lostEvents,
        termStart,
        greedyFactor,
        slowReplica,
        dyingReplica);
  }

  /** Returns this workload with a share of cache events lost. */
  public Workload withLostEvents(String newName, double share) {
    return new Workload(
        newName,
        load,
        lagMillis,
        ageKnown,
        share,
        termStart,
        greedyFactor,
        slowReplica,
        dyingReplica);
  }

  /** Returns this workload with a shift of load and mix in the middle. */
  public Workload withTermStart(String newName) {
    return new Workload(
        newName,
        load,
        lagMillis,
        ageKnown,
        lostEvents,
        true,
        greedyFactor,
        slowReplica,
        dyingReplica);
  }

  /** Returns this workload with a greedy workspace. */
  public Workload withGreedy(String newName, double factor) {
    return new Workload(
        newName,
        load,
        lagMillis,
        ageKnown,
        lostEvents,
        termStart,
        factor,
        slowReplica,
        dyingReplica);
  }

  /** Returns this workload with one slow replica. */
  public Workload withSlowReplica(String newName) {
    return new Workload(
        newName,
        load,
        lagMillis,
        ageKnown,
        lostEvents,
        termStart,
        greedyFactor,
        true,
        dyingReplica);
  }

  /** Returns this workload with one replica that dies. */
  public Workload withDyingReplica(String newName) {
    return new Workload(
        newName, load, lagMillis, ageKnown, lostEvents, termStart, greedyFactor, slowReplica, true);
  }
}
