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

/** Checks a merged configuration as a whole and reports all problems at once. */
public final class DeploymentValidator {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9.-]{0,62}");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final int MAX_REPLICAS = 10_000;
  private static final int MAX_QUEUE = 100_000;
  private static final int MAX_TOKENS = 1_000_000;
  private static final long MAX_TIMEOUT_MILLIS = 600_000;
  private static final double MAX_WEIGHT = 1_000;
  private static final int MAX_CONCURRENT = 1_000_000;
  private static final double MAX_RATE = 1_000_000;

  private final List<ConfigurationProblem> problems = new ArrayList<>();

  /** Creates a validator for one configuration. */
  public DeploymentValidator() {}

  /** Returns all problems of a configuration, empty when it is valid. */
  public List<ConfigurationProblem> validate(Deployment deployment) {
    name("site", deployment.site());
    for (ModelService service : items("modelServices", deployment.modelServices())) {
      check(service);
    }
    for (ApplicationService service :
        items("applicationServices", deployment.applicationServices())) {
      String path = "applicationServices[" + service.name() + "].";
      range(path + "replicas", service.replicas(), 1, MAX_REPLICAS, "replicas");
      range(path + "timeoutMillis", service.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS, "ms");
    }
    for (Workspace workspace : items("workspaces", deployment.workspaces())) {
      check(workspace);
    }
    for (Route route : items("routes", deployment.routes())) {
      if (route.service() != null && route.delivery() != null) {
        check(deployment, route);
      }
    }
    for (ModelPlacement placement : items("placements", deployment.placements())) {
      check(deployment, placement);
    }
    checkOwnModels(deployment);
    duplicates("placements", deployment.placements(), ModelPlacement::name);
    duplicates("modelServices", list(deployment.modelServices()), ModelService::name);
    List<Object> services = new ArrayList<>(list(deployment.modelServices()));
    services.addAll(list(deployment.applicationServices()));
    duplicates("applicationServices", services, DeploymentValidator::serviceName);
    duplicates("workspaces", list(deployment.workspaces()), Workspace::name);
    duplicates("routes", list(deployment.routes()), Route::name);
    return List.copyOf(problems);
  }

  private void check(ModelService service) {
    String path = "modelServices[" + service.name() + "].";
    required(path + "model", service.model());
    required(path + "fencing", service.fencing());
    range(path + "replicas", service.replicas(), 1, MAX_REPLICAS, "replicas");
    range(path + "queueLimit", service.queueLimit(), 0, MAX_QUEUE, "generations");
    range(path + "admissionRisk", service.admissionRisk(), 0.0001, 0.5, "(probability)");
    range(path + "maxTokens", service.maxTokens(), 1, MAX_TOKENS, "tokens");
    Objective objective = service.objective();
    if (objective == null) {
      required(path + "objective", null);
      return;
    }
    String weight = path + "objective.";
    range(weight + "stallTime", objective.stallTime(), 0, MAX_WEIGHT, "(weight)");
    range(weight + "tokenGapTail", objective.tokenGapTail(), 0, MAX_WEIGHT, "(weight)");
    range(weight + "preemptions", objective.preemptions(), 0, MAX_WEIGHT, "(weight)");
  }

  private void check(Workspace workspace) {
    String path = "workspaces[" + workspace.name() + "].";
    String hash = workspace.keySha256();
    if (hash == null || !SHA256.matcher(hash).matches()) {
      problem(path + "keySha256", "must be 64 lower-case hexadecimal digits");
    }
    range(path + "weight", workspace.weight(), 0.001, MAX_WEIGHT, "(weight)");
    range(path + "maxConcurrent", workspace.maxConcurrent(), 1, MAX_CONCURRENT, "requests");
    range(path + "requestsPerSecond", workspace.requestsPerSecond(), 0.001, MAX_RATE, "requests/s");
  }

  private void check(Deployment deployment, Route route) {
    String path = "routes[" + route.name() + "].";
    boolean model =
        list(deployment.modelServices()).stream()
            .anyMatch(service -> route.service().equals(service.name()));
    boolean application =
        list(deployment.applicationServices()).stream()
            .anyMatch(service -> route.service().equals(service.name()));
    if (!model && !application) {
      problem(path + "service", "service " + route.service() + " does not exist");
      return;
    }
    boolean call = route.delivery() == Route.Delivery.CALL;
    if (call && !application) {
      problem(path + "delivery", "CALL needs an application service, " + route.service());
    }
    if (!call && !model) {
      problem(path + "delivery", route.delivery() + " needs a model service, " + route.service());
    }
  }

  private void check(Deployment deployment, ModelPlacement placement) {
    String path = "placements[" + placement.name() + "].";
    required(path + "service", placement.service());
    required(path + "model", placement.model());
    range(path + "minimumReplicas", placement.minimumReplicas(), 1, MAX_REPLICAS, "replicas");
    range(
        path + "requestsPerReplica", placement.requestsPerReplica(), 0.001, MAX_RATE, "requests/s");
    if (placement.service() == null || placement.model() == null) {
      return;
    }
    Optional<ModelService> service =
        list(deployment.modelServices()).stream()
            .filter(s -> placement.service().equals(s.name()))
            .findFirst();
    if (service.isEmpty()) {
      problem(path + "service", "model service " + placement.service() + " does not exist");
    } else if (placement.minimumReplicas() > service.get().replicas()) {
      problem(
          path + "minimumReplicas",
          "must be at most the " + service.get().replicas() + " replicas of the service");
    }
    boolean twice =
        deployment.placements().stream()
            .anyMatch(
                other ->
                    !Objects.equals(other.name(), placement.name())
                        && placement.service().equals(other.service())
                        && placement.model().equals(other.model()));
    if (twice) {
      problem(path + "model", "model " + placement.model() + " is placed twice");
    }
  }

  /** A service with placements but without its own model would be told to unload it. */
  private void checkOwnModels(Deployment deployment) {
    for (ModelService service : list(deployment.modelServices())) {
      List<ModelPlacement> placed =
          deployment.placements().stream()
              .filter(p -> Objects.equals(p.service(), service.name()) && p.model() != null)
              .toList();
      boolean own =
          placed.stream()
              .map(placement -> ModelName.parse(placement.model()).name())
              .anyMatch(name -> name.equals(service.model()));
      if (!placed.isEmpty() && !own) {
        problem(
            "modelServices[" + service.name() + "].model",
            "placements of the service must include its model " + service.model());
      }
    }
  }

  private <T> List<T> items(String list, List<T> items) {
    required(list, items);
    List<T> present = list(items);
    for (T item : present) {
      String name = item instanceof Route ? ((Route) item).name() : serviceName(item);
      name(list + "[" + name + "].name", name);
    }
    for (T item : present) {
      if (item instanceof Route) {
        Route route = (Route) item;
        required("routes[" + route.name() + "].service", route.service());
        required("routes[" + route.name() + "].delivery", route.delivery());
      }
    }
    return present;
  }

  private static <T> List<T> list(List<T> items) {
    return items == null ? List.of() : items;
  }

  private static String serviceName(Object item) {
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

  private <T> void duplicates(String list, List<T> items, Function<T, String> nameOf) {
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

  private void name(String field, String value) {
    if (value == null || !NAME.matcher(value).matches()) {
      problem(field, "must be 1 to 63 lower-case letters, digits, dots or hyphens");
    }
  }

  private void required(String field, Object value) {
    if (value == null || "".equals(value)) {
      problem(field, "is missing");
    }
  }

  private void range(String field, double value, double from, double to, String unit) {
    // The negated form also refuses NaN.
    if (!(value >= from && value <= to)) {
      String range = number(from) + " to " + number(to) + " " + unit;
      problem(field, "must be from " + range + ", was " + number(value));
    }
  }

  private static String number(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? Long.toString((long) value)
        : Double.toString(value);
  }

  private void problem(String field, String message) {
    problems.add(ConfigurationProblem.at(field, message));
  }
}
