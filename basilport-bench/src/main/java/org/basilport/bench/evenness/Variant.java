package org.basilport.bench.evenness;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.basilport.policy.dispatch.PeerReportAges;
import org.basilport.policy.dispatch.PlacementCost;
import org.basilport.policy.dispatch.ServerLoad;
import org.basilport.policy.dispatch.ServerSelector;
import org.basilport.policy.dispatch.StaleWorkSelector;
import org.basilport.policy.dispatch.StaleWorkSelector.ChoiceListener;

/** Selectors that the simulation compares. All respect the bounds of the present selectors. */
enum Variant {
  /** The selectors that are used where the load is not shared. */
  PRESENT,
  /** The selector that is used where the load is shared. */
  STALE_WORK,
  /** As {@link #STALE_WORK}, without knowledge of the speeds. */
  STALE_WORK_NO_SPEED,
  /** The fewest known requests per slot. */
  LEAST_OUTSTANDING,
  /** The better of two random servers. */
  TWO_CHOICES,
  /** The best of four random servers. */
  BEST_OF_FOUR,
  /** Random, with a probability according to the free slots. */
  FREE_CAPACITY,
  /** The present selectors on a fixed random fifth of the servers, at least two. */
  SUBSET,
  /** Each slot is granted to one instance, which uses no others. */
  LEASES,
  /** A server with room announces itself to one instance; without an announcement at random. */
  ANNOUNCED;

  private static final int SUBSET_SHARE = 5;

  /** Whether the instances observe the speeds of the servers. */
  boolean observesSpeed() {
    return this != STALE_WORK_NO_SPEED;
  }

  /** Creates the selector of one instance. */
  ServerSelector create(
      ServerKind kind,
      Fleet fleet,
      PeerReportAges ages,
      LongSupplier duration,
      SplittableRandom random) {
    ServerSelector present =
        kind == ServerKind.ENGINE ? kind.engineSelector(random) : kind.applicationSelector(random);
    PlacementCost bounds = (PlacementCost) present;
    switch (this) {
      case STALE_WORK:
      case STALE_WORK_NO_SPEED:
        return new StaleWorkSelector(
            bounds, ages::heartbeatNanos, duration, ChoiceListener.NONE, random);
      case LEAST_OUTSTANDING:
        return bestOf(bounds, fleet.servers(), random);
      case TWO_CHOICES:
        return bestOf(bounds, 2, random);
      case BEST_OF_FOUR:
        return bestOf(bounds, 4, random);
      case FREE_CAPACITY:
        return (candidates, demand, now) ->
            ServerSelector.lowestCost(
                candidates,
                server ->
                    bounds.accepts(server, server.totalWork(), demand)
                        ? -Math.log(random.nextDouble()) / freeSlots(server)
                        : Double.POSITIVE_INFINITY);
      case SUBSET:
        int size = Math.max(2, fleet.servers() / SUBSET_SHARE);
        long shuffleSeed = random.nextLong();
        return (candidates, demand, now) ->
            present.select(
                shuffled(candidates, new SplittableRandom(shuffleSeed)).subList(0, size),
                demand,
                now);
      case LEASES:
        int instance = fleet.nextInstance();
        return (candidates, demand, now) ->
            ServerSelector.lowestCost(
                candidates,
                server -> {
                  int granted = fleet.granted(server, instance, kind.slots);
                  return server.ownWork().requests() < granted
                          && bounds.accepts(server, server.totalWork(), demand)
                      ? (double) server.ownWork().requests() / granted
                      : Double.POSITIVE_INFINITY;
                });
      case ANNOUNCED:
        int receiver = fleet.nextInstance();
        ServerSelector fallback = bestOf(bounds, 1, random);
        return (candidates, demand, now) ->
            fleet
                .announced(receiver)
                .map(candidates.stream().toList()::get)
                .filter(server -> bounds.accepts(server, server.totalWork(), demand))
                .or(() -> fallback.select(candidates, demand, now));
      default:
        return present;
    }
  }

  private static double freeSlots(ServerLoad server) {
    return Math.max(0.5, server.slots() - server.totalWork().requests());
  }

  private static ServerSelector bestOf(PlacementCost bounds, int count, SplittableRandom random) {
    return (candidates, demand, now) -> {
      List<ServerLoad> accepting =
          candidates.stream()
              .filter(server -> bounds.accepts(server, server.totalWork(), demand))
              .toList();
      List<ServerLoad> drawn = shuffled(accepting, random);
      return drawn.subList(0, Math.min(count, drawn.size())).stream()
          .min(
              Comparator.comparingDouble(
                  server -> (double) server.totalWork().requests() / server.slots()));
    };
  }

  private static List<ServerLoad> shuffled(Iterable<ServerLoad> servers, SplittableRandom random) {
    List<ServerLoad> copy = new ArrayList<>();
    servers.forEach(copy::add);
    Collections.shuffle(copy, new Random(random.nextLong()));
    return copy;
  }

  /** What some variants know of the simulated fleet. */
  interface Fleet {
    int servers();

    /** Index of the instance whose selector is created. */
    int nextInstance();

    /** Slots of a server that are granted to an instance. */
    int granted(ServerLoad server, int instance, int slots);

    /** Takes the index of a server that announced itself to the instance. */
    Optional<Integer> announced(int instance);
  }
}
