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
 * <p>Targets are kept from plan to plan, so that a model that is being loaded on one engine is not
 * also loaded on another. The first plan starts from what the engines report. Not thread-safe.
 */
public final class PlacementPlanner {
  private static final double SECONDS_PER_MINUTE = 60;

  private final PlacementSettings settings;
  private final TokenBucket changeBudget;
  private final Map<String, DesiredReplicaCount> replicaCounts = new HashMap<>();
  private final SortedMap<String, SortedSet<String>> assignments = new TreeMap<>();
  private final Map<String, EngineState> engines = new TreeMap<>();
  private Map<String, ModelRequirement> requirements = Map.of();
  private Map<String, Double> arrivalRates = Map.of();
  private long planNanos;

  /** Creates a planner without targets. */
  public PlacementPlanner(PlacementSettings settings, long nowNanos) {
    this.settings = settings;
    double burst = Math.max(1, settings.changesPerMinute() / SECONDS_PER_MINUTE);
    this.changeBudget =
        new TokenBucket(settings.changesPerMinute() / SECONDS_PER_MINUTE, burst, nowNanos);
  }

  /**
   * Returns the target models of each engine.
   *
   * @param demand arrivals per second by model name without version
   * @param reportedEngines engines that take new work and have reported; targets of other engines
   *     are dropped
   */
  public PlacementPlan plan(
      List<ModelRequirement> required,
      Map<String, Double> demand,
      Collection<EngineState> reportedEngines,
      long nowNanos) {
    validate(required, settings);
    planNanos = nowNanos;
    arrivalRates = demand;
    requirements = new TreeMap<>();
    required.forEach(requirement -> requirements.put(requirement.model(), requirement));
    engines.clear();
    reportedEngines.forEach(engine -> engines.put(engine.id(), engine));
    assignments.keySet().retainAll(engines.keySet());
    engines.forEach((id, state) -> assignments.computeIfAbsent(id, i -> initialAssignment(state)));
    replicaCounts.keySet().retainAll(requirements.keySet());
    requirements
        .values()
        .forEach(
            requirement ->
                replicaCounts.computeIfAbsent(
                    requirement.model(), m -> initialReplicaCount(requirement)));
    requirements.values().forEach(this::updateReplicaCount);
    requirements.values().forEach(this::removeSurplusReplica);
    removeUnrequiredModels();
    requirements.values().forEach(this::addMissingReplicas);
    return currentPlan();
  }

  /**
   * Validates requirements and settings.
   *
   * @throws RejectedException naming the invalid value, when the requirements cannot be planned
   */
  public static void validate(List<ModelRequirement> required, PlacementSettings settings) {
    Set<String> names = new HashSet<>();
    for (ModelRequirement requirement : required) {
      require(!requirement.model().isBlank(), "a model without a name cannot be placed");
      require(names.add(requirement.model()), "model " + requirement.model() + " is placed twice");
      require(
          requirement.minimumReplicas() >= 1,
          "model "
              + requirement.model()
              + " needs at least 1 replica, was "
              + requirement.minimumReplicas());
      require(
          requirement.requestsPerReplica() > 0,
          "requests/s per replica of " + requirement.model() + " must be above 0");
    }
    require(settings.modelsPerEngine() >= 1, "models per engine must be at least 1");
    require(settings.changesPerMinute() > 0, "changes per minute must be above 0");
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new RejectedException(FailureCode.INVALID_CONFIGURATION, Step.CONFIGURE, message);
    }
  }

  private static SortedSet<String> initialAssignment(EngineState state) {
    return new TreeSet<>(state.loaded());
  }

  private DesiredReplicaCount initialReplicaCount(ModelRequirement requirement) {
    int present = assignedEngines(requirement.model()).size();
    return new DesiredReplicaCount(
        settings, Math.max(requirement.minimumReplicas(), present), planNanos);
  }

  private void updateReplicaCount(ModelRequirement requirement) {
    replicaCounts
        .get(requirement.model())
        .update(requirement, arrivalRate(requirement.name()), engines.size(), planNanos);
  }

  private void removeSurplusReplica(ModelRequirement requirement) {
    int required = replicaCounts.get(requirement.model()).desired();
    List<String> assignedEngines = assignedEngines(requirement.model());
    if (assignedEngines.size() <= required
        || countReady(requirement.model()::equals, "", "") <= required) {
      return;
    }
    assignedEngines.stream()
        .max(
            Comparator.comparing((String id) -> assignments.get(id).size())
                .thenComparing(id -> tieBreaker(requirement.model(), id)))
        .filter(id -> countReady(requirement.model()::equals, id, requirement.model()) >= required)
        .filter(id -> changeBudget.tryTake(1, planNanos))
        .ifPresent(id -> assignments.get(id).remove(requirement.model()));
  }

  /**
   * Unloads models that the service no longer requires; an old version only after the new one is
   * ready.
   */
  private void removeUnrequiredModels() {
    for (Map.Entry<String, SortedSet<String>> entry : assignments.entrySet()) {
      for (String model : List.copyOf(entry.getValue())) {
        if (!requirements.containsKey(model)
            && mayUnload(model, entry.getKey())
            && changeBudget.tryTake(1, planNanos)) {
          entry.getValue().remove(model);
        }
      }
    }
  }

  private boolean mayUnload(String model, String engine) {
    String name = ModelName.parse(model).name();
    if (arrivalRate(name) < settings.idleRate()) {
      return true;
    }
    Optional<ModelRequirement> successor =
        requirements.values().stream()
            .filter(requirement -> requirement.name().equals(name))
            .findFirst();
    int required =
        successor
            .map(requirement -> replicaCounts.get(requirement.model()).desired() - 1)
            .orElse(1);
    // While a new version is introduced, any version of the model counts as a replica.
    return countReady(other -> ModelName.parse(other).name().equals(name), engine, model)
        >= Math.max(1, required);
  }

  private void addMissingReplicas(ModelRequirement requirement) {
    int missing =
        replicaCounts.get(requirement.model()).desired()
            - assignedEngines(requirement.model()).size();
    for (int i = 0; i < missing; i++) {
      Optional<String> engine = findEngineFor(requirement.model());
      if (engine.isEmpty()) {
        return;
      }
      boolean loaded = engines.get(engine.get()).loaded().contains(requirement.model());
      if (!loaded && !changeBudget.tryTake(1, planNanos)) {
        return;
      }
      assignments.get(engine.get()).add(requirement.model());
    }
  }

  private Optional<String> findEngineFor(String model) {
    return assignments.keySet().stream()
        .filter(id -> !assignments.get(id).contains(model))
        .filter(id -> assignments.get(id).size() < settings.modelsPerEngine())
        .min(
            Comparator.comparing((String id) -> !engines.get(id).loaded().contains(model))
                .thenComparing(id -> assignments.get(id).size())
                .thenComparing(id -> tieBreaker(model, id)));
  }

  private List<String> assignedEngines(String model) {
    return assignments.keySet().stream().filter(id -> assignments.get(id).contains(model)).toList();
  }

  /**
   * Returns the number of engines on which a matching model is assigned and loaded, not counting
   * one model of one engine.
   *
   * @param engine engine of the model that is not counted; empty to count all
   * @param excludedModel model that is not counted on that engine
   */
  private int countReady(Predicate<String> matches, String engine, String excludedModel) {
    int count = 0;
    for (Map.Entry<String, SortedSet<String>> entry : assignments.entrySet()) {
      Set<String> loaded = engines.get(entry.getKey()).loaded();
      boolean other = !entry.getKey().equals(engine);
      boolean ready =
          entry.getValue().stream()
              .filter(model -> other || !model.equals(excludedModel))
              .filter(matches)
              .anyMatch(loaded::contains);
      count += ready ? 1 : 0;
    }
    return count;
  }

  /**
   * Returns the current targets. A loaded model in demand that no other engine has ready is first
   * assigned to its engine again, because the replicas on which an earlier decision relied may be
   * gone through an engine crash or a delayed order.
   */
  private PlacementPlan currentPlan() {
    SortedMap<String, SortedSet<String>> targets = new TreeMap<>();
    assignments.forEach((id, models) -> targets.put(id, new TreeSet<>(models)));
    for (EngineState engine : engines.values()) {
      for (String model : engine.loaded()) {
        boolean unassigned = !targets.get(engine.id()).contains(model);
        if (unassigned && !mayUnloadLastReplica(model, engine.id())) {
          targets.get(engine.id()).add(model);
          assignments.get(engine.id()).add(model);
        }
      }
    }
    return new PlacementPlan(targets);
  }

  private boolean mayUnloadLastReplica(String model, String engine) {
    String name = ModelName.parse(model).name();
    return arrivalRate(name) < settings.idleRate() && !requirements.containsKey(model)
        || countReady(other -> ModelName.parse(other).name().equals(name), engine, model) >= 1;
  }

  private double arrivalRate(String name) {
    return arrivalRates.getOrDefault(name, 0.0);
  }

  /** Breaks ties between engines pseudo-randomly, in the same way at each instance. */
  private static int tieBreaker(String model, String engine) {
    return Integer.reverse((model + "/" + engine).hashCode());
  }
}
