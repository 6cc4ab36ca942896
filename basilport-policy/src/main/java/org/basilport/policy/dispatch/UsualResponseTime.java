package org.basilport.policy.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Usual response times of the kinds of requests at all servers, to which the response times of one
 * server are compared.
 */
public final class UsualResponseTime {
  /** Weight of a new sample in the exponential moving average. */
  private static final double SAMPLE_WEIGHT = 0.02;

  /** Number of kinds; the times of further ones are not compared. */
  private static final int MAX_KINDS = 1_000;

  private final Map<String, Double> usualByKind = new HashMap<>();

  /**
   * Records a response time and returns it relative to the usual one; 1 for the first of a kind.
   *
   * @param time response time without the temporary slowdown of the server, in any unit
   */
  public double relative(String kind, double time) {
    if (usualByKind.size() >= MAX_KINDS && !usualByKind.containsKey(kind)) {
      return 1;
    }
    double usual = usualByKind.getOrDefault(kind, time);
    usualByKind.put(kind, usual + SAMPLE_WEIGHT * (time - usual));
    return usual > 0 ? time / usual : 1;
  }
}
