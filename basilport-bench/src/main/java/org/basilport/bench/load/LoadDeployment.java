package org.basilport.bench.load;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.basilport.config.ApplicationService;
import org.basilport.config.Deployment;
import org.basilport.config.FencingMode;
import org.basilport.config.ModelService;
import org.basilport.config.Objective;
import org.basilport.config.Route;
import org.basilport.config.Workspace;

/** Names, keys and configuration of load and process fault runs. */
final class LoadDeployment {
  static final String REGION = "load";
  static final List<String> DATA_CENTRES = List.of("dc-a", "dc-b", "dc-c");
  static final String MODEL_SERVICE = "load-llm";
  static final String APPLICATION_SERVICE = "load-app";
  static final String STREAM_ROUTE = "stream";
  static final String CALL_ROUTE = "call";
  static final String WORKSPACE = "load";
  static final String WORKSPACE_KEY = "workspace-key-of-the-load-run";
  static final String CLUSTER_KEY = "cluster-key-of-the-load-run";
  static final String OPERATOR_KEY = "operator-key-of-the-load-run";
  static final int MAX_TOKENS = 100_000;
  private static final int NO_LIMIT = 1_000_000;
  private static final int QUEUE_LIMIT = 100_000;
  private static final long CALL_TIMEOUT_MILLIS = 5_000;

  private LoadDeployment() {}

  /** Returns a configuration with the given weight of its only workspace. */
  static Deployment withWeight(int engines, int replicas, double weight) {
    String hash = Hashing.sha256().hashString(WORKSPACE_KEY, StandardCharsets.UTF_8).toString();
    return new Deployment(
        REGION,
        List.of(
            new ModelService(
                MODEL_SERVICE,
                "base",
                engines,
                FencingMode.ENFORCED,
                new Objective(1, 1, 1),
                QUEUE_LIMIT,
                0.1,
                MAX_TOKENS)),
        List.of(new ApplicationService(APPLICATION_SERVICE, replicas, CALL_TIMEOUT_MILLIS)),
        List.of(new Workspace(WORKSPACE, hash, weight, NO_LIMIT, NO_LIMIT)),
        List.of(
            new Route(STREAM_ROUTE, MODEL_SERVICE, Route.Delivery.STREAMED),
            new Route(CALL_ROUTE, APPLICATION_SERVICE, Route.Delivery.CALL)));
  }
}
