package org.basilport.bench.contention;

/**
 * Load of a simulation.
 *
 * @param behaviour behaviour of the callers of the first workspace
 * @param seed seed of all random choices
 * @param workspaces number of workspaces
 * @param seconds simulated time
 * @param demand requested tokens over those that the servers can run
 * @param lostReports fraction of reports that are lost
 * @param restartEverySeconds interval at which an instance loses its state; 0 for none
 * @param fair whether contended queues are used; otherwise the queue by priority and arrival
 */
public record ContentionSettings(
    CallerBehaviour behaviour,
    long seed,
    int workspaces,
    int seconds,
    double demand,
    double lostReports,
    int restartEverySeconds,
    boolean fair) {}
