package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.function.LongUnaryOperator;

/**
 * Selects servers by the work that other instances have probably placed since they last reported.
 *
 * <p>Load: 10 to 300 instances that choose at the same moment among up to 300 servers by reports
 * that are 20 ms to 2 s old. If each chose the server with the least known work, all would choose
 * the same one.
 *
 * <p>Of the reported work, the part that lasts for the age of the reports is still there. The rest
 * has ended, and about as much has been placed in its stead: the placement rate, which is the
 * reported work divided by its duration, times the age. These placements are distributed so that
 * they raise the servers with the lowest cost to one common level. Several servers are drawn at
 * random with the probability of their shares, and the one with the least work of this instance,
 * which is known exactly, is chosen. With fresh reports only the best server lies below the level;
 * with old reports all do. A server that the known work excludes is never chosen.
 */
public final class StaleWorkSelector implements ServerSelector {
  /**
   * Least number of placements that are assumed to be unreported. Without it, instances that see an
   * idle fleet would choose the same server.
   */
  private static final double MIN_UNREPORTED = 0.5;

  /**
   * Number of servers that are drawn for a choice. With a single one, the requests of one instance
   * are spread less evenly than by its own work alone when the reports are old.
   */
  private static final int DRAWS = 8;

  /** Least difference of costs by which a request counts, so that no share becomes infinite. */
  private static final double MIN_REQUEST_COST = 1e-9;

  private final PlacementCost placementCost;
  private final LongUnaryOperator ageNanos;
  private final LongSupplier meanDurationNanos;
  private final ChoiceListener listener;
  private final SplittableRandom random;

  /**
   * Creates a selector.
   *
   * @param placementCost bounds and cost of the servers
   * @param ageNanos age of the reported work at a monotonic time, both in nanoseconds
   * @param meanDurationNanos mean time from sending a request to its end; 0 while it is not known
   */
  public StaleWorkSelector(
      PlacementCost placementCost,
      LongUnaryOperator ageNanos,
      LongSupplier meanDurationNanos,
      ChoiceListener listener,
      SplittableRandom random) {
    this.placementCost = placementCost;
    this.ageNanos = ageNanos;
    this.meanDurationNanos = meanDurationNanos;
    this.listener = listener;
    this.random = random;
  }

  @Override
  public Optional<ServerLoad> select(
      Collection<ServerLoad> candidates, RequestDemand demand, long nowNanos) {
    long age = ageNanos.applyAsLong(nowNanos);
    ServerLoad[] servers = new ServerLoad[candidates.size()];
    double[] costs = new double[servers.length];
    double[] requestsPerCost = new double[servers.length];
    double lasting = lastingShare(age);
    OutstandingWork requestWork = demand.toWork();
    double unreported = 0;
    int count = 0;
    for (ServerLoad server : candidates) {
      unreported += (1 - lasting) * server.peerWork().requests();
      OutstandingWork work = server.totalWork();
      if (!placementCost.accepts(server, work, demand)) {
        continue;
      }
      servers[count] = server;
      double slowness = server.speed().slowness(nowNanos);
      double knownCost = placementCost.workCost(server, work, demand, slowness);
      double ownCost = placementCost.workCost(server, server.ownWork(), demand, slowness);
      costs[count] =
          lasting * knownCost + (1 - lasting) * ownCost + placementCost.fixedCost(server, nowNanos);
      double costAfter = placementCost.workCost(server, work.plus(requestWork), demand, slowness);
      requestsPerCost[count] = 1 / Math.max(MIN_REQUEST_COST, costAfter - knownCost);
      count++;
    }
    if (count == 0) {
      return Optional.empty();
    }
    double level = level(costs, requestsPerCost, count, Math.max(MIN_UNREPORTED, unreported));
    ServerLoad chosen = servers[choose(servers, costs, requestsPerCost, count, level)];
    listener.onChoice(age, countBelow(costs, count, level) > 1);
    return Optional.of(chosen);
  }

  /** Share of the reported work that has not ended since the reports. */
  private double lastingShare(long age) {
    long duration = meanDurationNanos.getAsLong();
    return duration > 0 ? Math.exp(-(double) age / duration) : 1;
  }

  /** The cost to which the placements raise the servers with the lowest cost. */
  private static double level(
      double[] costs, double[] requestsPerCost, int count, double placements) {
    double level = Double.POSITIVE_INFINITY;
    int below = count + 1;
    int belowBefore;
    // The first level includes all servers; leaving out those above it lowers it each time.
    do {
      belowBefore = below;
      below = 0;
      double capacity = 0;
      double filled = placements;
      for (int i = 0; i < count; i++) {
        if (costs[i] < level) {
          below++;
          capacity += requestsPerCost[i];
          filled += costs[i] * requestsPerCost[i];
        }
      }
      level = filled / capacity;
    } while (below < belowBefore);
    return level;
  }

  private static int countBelow(double[] costs, int count, double level) {
    int below = 0;
    for (int i = 0; i < count; i++) {
      if (costs[i] < level) {
        below++;
      }
    }
    return below;
  }

  /** Chooses the drawn server with the least work of this instance. */
  private int choose(
      ServerLoad[] servers, double[] costs, double[] requestsPerCost, int count, double level) {
    double[] shares = new double[count];
    double sum = 0;
    int chosen = 0;
    for (int i = 0; i < count; i++) {
      shares[i] = Math.max(0, (level - costs[i]) * requestsPerCost[i]);
      sum += shares[i];
      chosen = costs[i] < costs[chosen] ? i : chosen;
    }
    double leastOwn = Double.POSITIVE_INFINITY;
    for (int i = 0; i < DRAWS && sum > 0; i++) {
      int drawn = draw(shares, random.nextDouble() * sum);
      double own = servers[drawn].ownWork().requests() / requestsPerCost[drawn];
      if (own < leastOwn) {
        leastOwn = own;
        chosen = drawn;
      }
    }
    return chosen;
  }

  /** The server in whose share a point of the sum of the shares lies. */
  private static int draw(double[] shares, double point) {
    double rest = point;
    int last = 0;
    for (int i = 0; i < shares.length; i++) {
      if (shares[i] > 0) {
        last = i;
        rest -= shares[i];
        if (rest < 0) {
          return i;
        }
      }
    }
    return last;
  }

  /**
   * Returns a selector that uses another one while the reports are older than a limit.
   *
   * @param ageNanos age of the reported work at a monotonic time, both in nanoseconds
   */
  public static ServerSelector upTo(
      long maxAgeNanos,
      LongUnaryOperator ageNanos,
      ServerSelector selector,
      ServerSelector otherwise) {
    return (candidates, demand, nowNanos) ->
        (ageNanos.applyAsLong(nowNanos) <= maxAgeNanos ? selector : otherwise)
            .select(candidates, demand, nowNanos);
  }

  /** Receives the choices, for metrics. */
  @FunctionalInterface
  public interface ChoiceListener {
    /** Listener that ignores the choices. */
    ChoiceListener NONE = (ageNanos, random) -> {};

    /**
     * Called for each chosen server.
     *
     * @param ageNanos age of the reported work
     * @param random whether more than one server could have been chosen
     */
    void onChoice(long ageNanos, boolean random);
  }
}
