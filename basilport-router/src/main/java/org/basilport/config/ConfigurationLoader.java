package org.basilport.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Loads a configuration: merges a base file with the overlay of a site and validates the result.
 */
public final class ConfigurationLoader {

  private ConfigurationLoader() {}

  /** Loads a base file and an overlay; fails with {@link InvalidConfigurationException}. */
  public static Deployment load(ConfigurationSource base, ConfigurationSource overlay) {
    List<ConfigurationProblem> problems = new ArrayList<>();
    SourceNode baseNode = new SourceParser(base, problems).parse();
    SourceNode overlayNode = new SourceParser(overlay, problems).parse();
    throwIfInvalid(problems);
    SourceMerger merger = new SourceMerger(problems);
    SourceNode defaults = SourceNode.map(base.file(), 1);
    // Merging the base into an empty map reports its duplicate names before the overlay hides them.
    SourceNode merged = merger.merge(merger.merge(defaults, baseNode, ""), overlayNode, "");
    RecordBinder binder = new RecordBinder(problems);
    Deployment deployment = binder.bindRecord(merged, Deployment.class, "");
    if (deployment != null) {
      for (ConfigurationProblem found : new DeploymentValidator().validate(deployment)) {
        problems.add(binder.nodeAt(found.field(), merged).problem(found.field(), found.message()));
      }
    }
    throwIfInvalid(problems);
    return deployment;
  }

  /** Loads a single file without an overlay. */
  public static Deployment load(ConfigurationSource base) {
    return load(base, new ConfigurationSource(base.file(), ""));
  }

  private static void throwIfInvalid(List<ConfigurationProblem> problems) {
    if (!problems.isEmpty()) {
      throw new InvalidConfigurationException(problems.stream().distinct().toList());
    }
  }
}
