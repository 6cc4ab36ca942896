package org.basilport.bench.capacity;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.basilport.config.Deployment;
import org.basilport.config.FencingMode;
import org.basilport.config.ModelService;
import org.basilport.config.Objective;
import org.basilport.config.Route;
import org.basilport.config.Workspace;

/** Configurations with nine model services and a given number of workspaces. */
final class CapacityConfiguration {
  private static final int MODEL_SERVICES = 9;
  private static final int QUEUE_LIMIT = 500;
  private static final int MAX_TOKENS = 32_000;

  private CapacityConfiguration() {}

  /** Returns a configuration with the given weight of the middle workspace. */
  static Deployment withWeight(CapacityPoint point, double weight) {
    List<ModelService> services = new ArrayList<>();
    List<Route> routes = new ArrayList<>();
    for (int i = 0; i < MODEL_SERVICES; i++) {
      int replicas = Math.max(1, point.servers() / MODEL_SERVICES);
      services.add(
          new ModelService(
              serviceName(i),
              "model-" + i,
              replicas,
              FencingMode.ENFORCED,
              new Objective(1, 1, 0.2),
              QUEUE_LIMIT,
              0.1,
              MAX_TOKENS));
      routes.add(new Route("route-" + i, serviceName(i), Route.Delivery.STREAMED));
    }
    List<Workspace> workspaces = new ArrayList<>();
    for (int i = 0; i < point.workspaces(); i++) {
      String name = "workspace-" + i;
      String hash = Hashing.sha256().hashString(name, StandardCharsets.UTF_8).toString();
      double workspaceWeight = i == point.workspaces() / 2 ? weight : 1;
      workspaces.add(new Workspace(name, hash, workspaceWeight, 100, 50));
    }
    return new Deployment("capacity", services, List.of(), workspaces, routes);
  }

  static String serviceName(int index) {
    return "service-" + index % MODEL_SERVICES;
  }
}
