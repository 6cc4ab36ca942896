package org.basilport.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.basilport.policy.placement.ModelName;

/** Validates a merged configuration and reports all problems at once. */
public final class DeploymentValidator {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9.-]{0,62}");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final int MAX_REPLICAS = 10_000;
  private static final int MAX_QUEUE_LENGTH = 100_000;
  private static final int MAX_TOKENS = 1_000_000;
  private static final long MAX_TIMEOUT_MILLIS = 600_000;
  private static final double MAX_WEIGHT = 1_000;
  private static final int MAX_CONCURRENT_REQUESTS = 1_000_000;
  private static final double MAX_REQUESTS_PER_SECOND = 1_000_000;

  private final List<ConfigurationProblem> problems = new ArrayList<>();

  /** Creates a validator for one configuration. */
  public DeploymentValidator() {}

  /** Returns all problems of a configuration, empty when it is valid. */
  public List<ConfigurationProblem> validate(Deployment deployment) {
    checkName("site", deployment.site());
    for (ModelService service : checkItems("modelServices", deployment.modelServices())) {
      check(service);
    }
    for (ApplicationService service :
        checkItems("applicationServices", deployment.applicationServices())) {
      String path = "applicationServices[" + service.name() + "].";
      checkRange(path + "replicas", service.replicas(), 1, MAX_REPLICAS, "replicas");
      checkRange(path + "timeoutMillis", service.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS, "ms");
    }
    for (Workspace workspace : checkItems("workspaces", deployment.workspaces())) {
      check(workspace);
    }
    for (Route route : checkItems("routes", deployment.routes())) {
      if (route.service() != null && route.delivery() != null) {
        check(deployment, route);
      }
    }
    for (ModelPlacement placement : checkItems("placements", deployment.placements())) {
      check(deployment, placement);
    }
    checkPlacementsIncludeServiceModels(deployment);
    checkDuplicates("placements", deployment.placements(), ModelPlacement::name);
    checkDuplicates("modelServices", orEmpty(deployment.modelServices()), ModelService::name);
    List<Object> services = new ArrayList<>(orEmpty(deployment.modelServices()));
    services.addAll(orEmpty(deployment.applicationServices()));
    checkDuplicates("applicationServices", services, DeploymentValidator::itemName);
    checkDuplicates("workspaces", orEmpty(deployment.workspaces()), Workspace::name);
    checkDuplicates("routes", orEmpty(deployment.routes()), Route::name);
    return List.copyOf(problems);
  }

  private void check(ModelService service) {
    String path = "modelServices[" + service.name() + "].";
    checkRequired(path + "model", service.model());
    checkRequired(path + "fencing", service.fencing());
    checkRange(path + "replicas", service.replicas(), 1, MAX_REPLICAS, "replicas");
    checkRange(path + "queueLimit", service.queueLimit(), 0, MAX_QUEUE_LENGTH, "generations");
    checkRange(path + "admissionRisk", service.admissionRisk(), 0.0001, 0.5, "(probability)");
    checkRange(path + "maxTokens", service.maxTokens(), 1, MAX_TOKENS, "tokens");
    Objective objective = service.objective();
    if (objective == null) {
      checkRequired(path + "objective", null);
      return;
    }
    String objectivePath = path + "objective.";
    checkRange(objectivePath + "stallTime", objective.stallTime(), 0, MAX_WEIGHT, "(weight)");
    checkRange(objectivePath + "tokenGapTail", objective.tokenGapTail(), 0, MAX_WEIGHT, "(weight)");
    checkRange(objectivePath + "preemptions", objective.preemptions(), 0, MAX_WEIGHT, "(weight)");
  }

  private void check(Workspace workspace) {
    String path = "workspaces[" + workspace.name() + "].";
    String hash = workspace.keySha256();
    if (hash == null || !SHA256.matcher(hash).matches()) {
      addProblem(path + "keySha256", "must be 64 lower-case hexadecimal digits");
    }
    checkRange(path + "weight", workspace.weight(), 0.001, MAX_WEIGHT, "(weight)");
    checkRange(
        path + "maxConcurrent", workspace.maxConcurrent(), 1, MAX_CONCURRENT_REQUESTS, "requests");
    checkRange(
        path + "requestsPerSecond",
        workspace.requestsPerSecond(),
        0.001,
        MAX_REQUESTS_PER_SECOND,
        "requests/s");
  }

  private void check(Deployment deployment, Route route) {
    String path = "routes[" + route.name() + "].";
    boolean model =
        orEmpty(deployment.modelServices()).stream()
            .anyMatch(service -> route.service().equals(service.name()));
    boolean application =
        orEmpty(deployment.applicationServices()).stream()
            .anyMatch(service -> route.service().equals(service.name()));
    if (!model && !application) {
      addProblem(path + "service", "service " + route.service() + " does not exist");
      return;
    }
    boolean call = route.delivery() == Route.Delivery.CALL;
    if (call && !application) {
      addProblem(path + "delivery", "CALL needs an application service, " + route.service());
    }
    if (!call && !model) {
      addProblem(
          path + "delivery", route.delivery() + " needs a model service, " + route.service());
    }
  }

  private void check(Deployment deployment, ModelPlacement placement) {
    String path = "placements[" + placement.name() + "].";
    checkRequired(path + "service", placement.service());
    checkRequired(path + "model", placement.model());
    checkRange(path + "minimumReplicas", placement.minimumReplicas(), 1, MAX_REPLICAS, "replicas");
    checkRange(
        path + "requestsPerReplica",
        placement.requestsPerReplica(),
        0.001,
        MAX_REQUESTS_PER_SECOND,
        "requests/s");
    if (placement.service() == null || placement.model() == null) {
      return;
    }
    Optional<ModelService> service =
        orEmpty(deployment.modelServices()).stream()
            .filter(s -> placement.service().equals(s.name()))
            .findFirst();
    if (service.isEmpty()) {
      addProblem(path + "service", "model service " + placement.service() + " does not exist");
    } else if (placement.minimumReplicas() > service.get().replicas()) {
      addProblem(
          path + "minimumReplicas",
          "must be at most the " + service.get().replicas() + " replicas of the service");
    }
    boolean duplicate =
        deployment.placements().stream()
            .anyMatch(
                other ->
                    !Objects.equals(other.name(), placement.name())
                        && placement.service().equals(other.service())
                        && placement.model().equals(other.model()));
    if (duplicate) {
      addProblem(path + "model", "model " + placement.model() + " is placed twice");
    }
  }

  /**
   * Without a placement of its own model, a service with placements would be ordered to unload it.
   */
  private void checkPlacementsIncludeServiceModels(Deployment deployment) {
    for (ModelService service : orEmpty(deployment.modelServices())) {
      List<ModelPlacement> placed =
          deployment.placements().stream()
              .filter(p -> Objects.equals(p.service(), service.name()) && p.model() != null)
              .toList();
      boolean includesServiceModel =
          placed.stream()
              .map(placement -> ModelName.parse(placement.model()).name())
              .anyMatch(name -> name.equals(service.model()));
      if (!placed.isEmpty() && !includesServiceModel) {
        addProblem(
            "modelServices[" + service.name() + "].model",
            "placements of the service must include its model " + service.model());
      }
    }
  }

  private <T> List<T> checkItems(String list, List<T> items) {
    checkRequired(list, items);
    List<T> present = orEmpty(items);
    for (T item : present) {
      String name = item instanceof Route ? ((Route) item).name() : itemName(item);
      checkName(list + "[" + name + "].name", name);
    }
    for (T item : present) {
      if (item instanceof Route) {
        Route route = (Route) item;
        checkRequired("routes[" + route.name() + "].service", route.service());
        checkRequired("routes[" + route.name() + "].delivery", route.delivery());
      }
    }
    return present;
  }

  private static <T> List<T> orEmpty(List<T> items) {
    return items == null ? List.of() : items;
  }

  private static String itemName(Object item) {
    if (item instanceof ModelPlacement) {
      return ((ModelPlacement) item).name();
    }
    if (item instanceof ModelService) {
      return ((ModelService) item).name();
    }
    return item instanceof ApplicationService
        ? ((ApplicationService) item).name()
        : ((Workspace) item).name();
  }

  private <T> void checkDuplicates(String list, List<T> items, Function<T, String> nameOf) {
    Set<String> seen = new HashSet<>();
    for (T item : items) {
      String name = nameOf.apply(item);
      if (name != null && !seen.add(name)) {
        String owner = item instanceof ModelService ? "modelServices" : list;
        ConfigurationProblem found =
            ConfigurationProblem.at(owner + "[" + name + "].name", "the name is used twice");
        if (!problems.contains(found)) {
          problems.add(found);
        }
      }
    }
  }

  private void checkName(String field, String value) {
    if (value == null || !NAME.matcher(value).matches()) {
      addProblem(field, "must be 1 to 63 lower-case letters, digits, dots or hyphens");
    }
  }

  private void checkRequired(String field, Object value) {
    if (value == null || "".equals(value)) {
      addProblem(field, "is missing");
    }
  }

  private void checkRange(String field, double value, double from, double to, String unit) {
    // The negated condition also rejects NaN.
    if (!(value >= from && value <= to)) {
      String range = formatNumber(from) + " to " + formatNumber(to) + " " + unit;
      addProblem(field, "must be from " + range + ", was " + formatNumber(value));
    }
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? Long.toString((long) value)
        : Double.toString(value);
  }

  private void addProblem(String field, String message) {
    problems.add(ConfigurationProblem.at(field, message));
  }
}
