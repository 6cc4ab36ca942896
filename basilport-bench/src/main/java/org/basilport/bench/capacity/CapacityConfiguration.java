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

/** Configurations with nine model services and any number of workspaces. */
final class CapacityConfiguration {
  private static final int SERVICES = 9;
  private static final int QUEUE_LIMIT = 500;
  private static final int MAX_TOKENS = 32_000;

  private CapacityConfiguration() {}

  /** Returns a configuration that differs from others in one workspace's weight. */
  static Deployment of(CapacityPoint point, double weight) {
    List<ModelService> services = new ArrayList<>();
    List<Route> routes = new ArrayList<>();
    for (int i = 0; i < SERVICES; i++) {
      int replicas = Math.max(1, point.servers() / SERVICES);
      services.add(
          new ModelService(
              service(i),
              "model-" + i,
              replicas,
              FencingMode.ENFORCED,
              new Objective(1, 1, 0.2),
              QUEUE_LIMIT,
              0.1,
              MAX_TOKENS));
      routes.add(new Route("route-" + i, service(i), Route.Delivery.STREAMED));
    }
    List<Workspace> workspaces = new ArrayList<>();
    for (int i = 0; i < point.workspaces(); i++) {
      String name = "workspace-" + i;
      String hash = Hashing.sha256().hashString(name, StandardCharsets.UTF_8).toString();
      double own = i == point.workspaces() / 2 ? weight : 1;
      workspaces.add(new Workspace(name, hash, own, 100, 50));
    }
    return new Deployment("capacity", services, List.of(), workspaces, routes);
  }

  static String service(int index) {
    return "service-" + index % SERVICES;
  }
}
