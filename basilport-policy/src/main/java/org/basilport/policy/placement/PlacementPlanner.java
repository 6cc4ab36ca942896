package org.basilport.policy.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.policy.limit.TokenBucket;

/**
 * Decides which models should be loaded on which engine of a service.
 *
 * <p>Targets are kept from plan to plan, so that a load in progress is not started on another
 * engine as well. A first plan takes over what the engines report. Not safe for use by several
 * threads.
 */
public final class PlacementPlanner {
  private static final double SECONDS_PER_MINUTE = 60;

  private final PlacementSettings settings;
  private final TokenBucket changes;
  private final Map<String, ReplicaCount> counts = new HashMap<>();
  private final SortedMap<String, SortedSet<String>> assigned = new TreeMap<>();
  private final Map<String, EngineState> engines = new TreeMap<>();
  private Map<String, ModelRequirement> needs = Map.of();
  private Map<String, Double> rates = Map.of();
  private long now;

  /** Creates a planner without targets. */
  public PlacementPlanner(PlacementSettings settings, long nowNanos) {
    this.settings = settings;
    double burst = Math.max(1, settings.changesPerMinute() / SECONDS_PER_MINUTE);
    this.changes =
        new TokenBucket(settings.changesPerMinute() / SECONDS_PER_MINUTE, burst, nowNanos);
  }

  /**
   * Returns the full target of each engine.
   *
   * @param demand arrivals per second by model name without version
   * @param reported engines that take new work and have reported; targets of other engines are
   *     dropped
   */
  public PlacementPlan plan(
      List<ModelRequirement> wanted,
      Map<String, Double> demand,
      Collection<EngineState> reported,
      long nowNanos) {
    check(wanted, settings);
    now = nowNanos;
    rates = demand;
    needs = new TreeMap<>();
    wanted.forEach(need -> needs.put(need.model(), need));
    engines.clear();
    reported.forEach(engine -> engines.put(engine.id(), engine));
    assigned.keySet().retainAll(engines.keySet());
    engines.forEach((id, state) -> assigned.computeIfAbsent(id, i -> adopt(state)));
    counts.keySet().retainAll(needs.keySet());
    needs.values().forEach(need -> counts.computeIfAbsent(need.model(), m -> firstCount(need)));
    needs.values().forEach(this::updateCount);
    needs.values().forEach(this::removeSurplus);
    dropUnneeded();
    needs.values().forEach(this::addMissing);
    return snapshot();
  }

  /** Fails with a refusal that names the wrong value when targets cannot be planned. */
  public static void check(List<ModelRequirement> wanted, PlacementSettings settings) {
    Set<String> names = new HashSet<>();
    for (ModelRequirement need : wanted) {
      require(!need.model().isBlank(), "a model without a name cannot be placed");
      require(names.add(need.model()), "model " + need.model() + " is placed twice");
      require(
          need.minimumReplicas() >= 1,
          "model " + need.model() + " needs at least 1 replica, was " + need.minimumReplicas());
      require(
          need.requestsPerReplica() > 0,
          "requests/s per replica of " + need.model() + " must be above 0");
    }
    require(settings.modelsPerEngine() >= 1, "an engine must be able to hold at least 1 model");
    require(settings.changesPerMinute() > 0, "changes per minute must be above 0");
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new RejectedException(FailureCode.INVALID_CONFIGURATION, Step.CONFIGURE, message);
    }
  }

  private static SortedSet<String> adopt(EngineState state) {
    return new TreeSet<>(state.loaded());
  }

  private ReplicaCount firstCount(ModelRequirement need) {
    int present = holders(need.model()).size();
    return new ReplicaCount(settings, Math.max(need.minimumReplicas(), present), now);
  }

  private void updateCount(ModelRequirement need) {
    counts.get(need.model()).update(need, rate(need.name()), engines.size(), now);
  }

  private void removeSurplus(ModelRequirement need) {
    int wanted = counts.get(need.model()).wanted();
    List<String> holders = holders(need.model());
    if (holders.size() <= wanted || ready(need.model()::equals, "", "") <= wanted) {
      return;
    }
    holders.stream()
        .max(
            Comparator.comparing((String id) -> assigned.get(id).size())
                .thenComparing(id -> score(need.model(), id)))
        .filter(id -> ready(need.model()::equals, id, need.model()) >= wanted)
        .filter(id -> changes.tryTake(1, now))
        .ifPresent(id -> assigned.get(id).remove(need.model()));
  }

  /**
   * Drops models that the service no longer has, an old version only after the new one is ready.
   */
  private void dropUnneeded() {
    for (Map.Entry<String, SortedSet<String>> entry : assigned.entrySet()) {
      for (String model : List.copyOf(entry.getValue())) {
        if (!needs.containsKey(model)
            && maySpare(model, entry.getKey())
            && changes.tryTake(1, now)) {
          entry.getValue().remove(model);
        }
      }
    }
  }

  private boolean maySpare(String model, String engine) {
    String name = ModelName.parse(model).name();
    if (rate(name) < settings.idleRate()) {
      return true;
    }
    Optional<ModelRequirement> successor =
        needs.values().stream().filter(need -> need.name().equals(name)).findFirst();
    int required = successor.map(need -> counts.get(need.model()).wanted() - 1).orElse(1);
    // Versions of one model stand in for each other while a new version is brought in.
    return ready(other -> ModelName.parse(other).name().equals(name), engine, model)
        >= Math.max(1, required);
  }

  private void addMissing(ModelRequirement need) {
    int missing = counts.get(need.model()).wanted() - holders(need.model()).size();
    for (int i = 0; i < missing; i++) {
      Optional<String> engine = roomFor(need.model());
      if (engine.isEmpty()) {
        return;
      }
      boolean loaded = engines.get(engine.get()).loaded().contains(need.model());
      if (!loaded && !changes.tryTake(1, now)) {
        return;
      }
      assigned.get(engine.get()).add(need.model());
    }
  }

  private Optional<String> roomFor(String model) {
    return assigned.keySet().stream()
        .filter(id -> !assigned.get(id).contains(model))
        .filter(id -> assigned.get(id).size() < settings.modelsPerEngine())
        .min(
            Comparator.comparing((String id) -> !engines.get(id).loaded().contains(model))
                .thenComparing(id -> assigned.get(id).size())
                .thenComparing(id -> score(model, id)));
  }

  private List<String> holders(String model) {
    return assigned.keySet().stream().filter(id -> assigned.get(id).contains(model)).toList();
  }

  /**
   * Number of engines that have a matching model loaded and keep it, apart from one model of one
   * engine.
   */
  private int ready(Predicate<String> matches, String engine, String spared) {
    int count = 0;
    for (Map.Entry<String, SortedSet<String>> entry : assigned.entrySet()) {
      Set<String> loaded = engines.get(entry.getKey()).loaded();
      boolean other = !entry.getKey().equals(engine);
      boolean ready =
          entry.getValue().stream()
              .filter(model -> other || !model.equals(spared))
              .filter(matches)
              .anyMatch(loaded::contains);
      count += ready ? 1 : 0;
    }
    return count;
  }

  /**
   * Keeps loaded models in demand that no other engine has ready. An engine's death or a late order
   * may have taken the replicas that an earlier decision relied on.
   */
  private PlacementPlan snapshot() {
    SortedMap<String, SortedSet<String>> targets = new TreeMap<>();
    assigned.forEach((id, models) -> targets.put(id, new TreeSet<>(models)));
    for (EngineState engine : engines.values()) {
      for (String model : engine.loaded()) {
        boolean dropped = !targets.get(engine.id()).contains(model);
        if (dropped && !maySpareLast(model, engine.id())) {
          targets.get(engine.id()).add(model);
          assigned.get(engine.id()).add(model);
        }
      }
    }
    return new PlacementPlan(targets);
  }

  private boolean maySpareLast(String model, String engine) {
    String name = ModelName.parse(model).name();
    return rate(name) < settings.idleRate() && !needs.containsKey(model)
        || ready(other -> ModelName.parse(other).name().equals(name), engine, model) >= 1;
  }

  private double rate(String name) {
    return rates.getOrDefault(name, 0.0);
  }

  /** Spreads equal choices over engines, the same way at each instance. */
  private static int score(String model, String engine) {
    return Integer.reverse((model + "/" + engine).hashCode());
  }
}
