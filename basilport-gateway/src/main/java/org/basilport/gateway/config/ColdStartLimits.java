package org.basilport.gateway.config;

/**
 * How far the requests to a cold server may exceed what it bears.
 *
 * @param overage factor of the requests per second
 * @param slack requests within a second in addition
 */
public record ColdStartLimits(double overage, double slack) {
  /** Requests that one cold server may get from all instances within any second. */
  public double requestsInOneSecond(ColdStart coldStart) {
    return coldStart.requestsPerSecond() * overage + slack;
  }
}
