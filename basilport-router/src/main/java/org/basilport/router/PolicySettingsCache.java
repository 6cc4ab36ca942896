package org.basilport.router;

import java.util.HashMap;
import java.util.Map;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ModelService;
import org.basilport.config.Workspace;
import org.basilport.policy.PolicySettings;

/** Caches the policy settings of the current configuration; safe to use from any thread. */
final class PolicySettingsCache {
  private long configurationNumber = -1;
  private Map<String, PolicySettings> byService = Map.of();

  /** Returns the settings of a model service, or null if the configuration does not have it. */
  synchronized PolicySettings settings(AcceptedConfiguration configuration, String service) {
    if (configuration.number() != configurationNumber) {
      byService = build(configuration);
      configurationNumber = configuration.number();
    }
    return byService.get(service);
  }

  private static Map<String, PolicySettings> build(AcceptedConfiguration configuration) {
    Map<String, Double> weights = new HashMap<>();
    for (Workspace workspace : configuration.deployment().workspaces()) {
      weights.put(workspace.name(), workspace.weight());
    }
    Map<String, PolicySettings> built = new HashMap<>();
    for (ModelService service : configuration.deployment().modelServices()) {
      built.put(service.name(), settings(service, weights));
    }
    return built;
  }

  private static PolicySettings settings(ModelService service, Map<String, Double> weights) {
    return new PolicySettings(
        service.name(),
        service.model(),
        service.queueLimit(),
        service.admissionRisk(),
        service.objective().stallTime(),
        service.objective().tokenGapTail(),
        service.objective().preemptions(),
        weights);
  }
}
