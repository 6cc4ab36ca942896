package org.basilport.bench.soak;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.basilport.config.ApplicationService;
import org.basilport.config.Deployment;
import org.basilport.config.FencingMode;
import org.basilport.config.ModelService;
import org.basilport.config.Objective;
import org.basilport.config.Route;
import org.basilport.config.Workspace;
import org.basilport.router.Credentials;

/** Configuration and credentials of soak runs. */
final class SoakConfiguration {
  static final String REGION = "co-centro";
  static final List<String> DATA_CENTRES = List.of("bogota-a", "bogota-b", "tunja-c");
  static final String MODEL_SERVICE = "geo-llm";
  static final String APPLICATION_SERVICE = "shelf-app";
  static final String STREAM_ROUTE = "describe";
  static final String DEFERRED_ROUTE = "summarise";
  static final String CALL_ROUTE = "shelf";
  static final int MAX_TOKENS = 400;
  private static final int WORKSPACES = 5;
  private static final int UNREACHED_LIMIT = 10_000;

  private SoakConfiguration() {}

  /** Returns a configuration with the given weight of the first workspace. */
  static Deployment withWeight(double weight) {
    List<Workspace> workspaces = new ArrayList<>();
    for (int i = 0; i < WORKSPACES; i++) {
      double workspaceWeight = i == 0 ? weight : 1;
      workspaces.add(
          new Workspace(
              "w" + i, sha256(key(i)), workspaceWeight, UNREACHED_LIMIT, UNREACHED_LIMIT));
    }
    return new Deployment(
        "soak",
        List.of(
            new ModelService(
                MODEL_SERVICE,
                "geo",
                8,
                FencingMode.ENFORCED,
                new Objective(1, 1, 0.2),
                500,
                0.1,
                MAX_TOKENS)),
        List.of(new ApplicationService(APPLICATION_SERVICE, 3, 2_000)),
        workspaces,
        List.of(
            new Route(STREAM_ROUTE, MODEL_SERVICE, Route.Delivery.STREAMED),
            new Route(DEFERRED_ROUTE, MODEL_SERVICE, Route.Delivery.DEFERRED),
            new Route(CALL_ROUTE, APPLICATION_SERVICE, Route.Delivery.CALL)));
  }

  static Credentials credentials(int workspace) {
    int index = workspace % WORKSPACES;
    return new Credentials("w" + index, key(index));
  }

  private static String key(int workspace) {
    return "key-of-w" + workspace;
  }

  private static String sha256(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }
}
