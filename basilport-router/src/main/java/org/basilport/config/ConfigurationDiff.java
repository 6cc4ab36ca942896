package org.basilport.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.basilport.config.ConfigurationDifference.Kind;

/** Compares two configurations; list items are matched by name, so their order is ignored. */
public final class ConfigurationDiff {
  private final List<ConfigurationDifference> differences = new ArrayList<>();

  private ConfigurationDiff() {}

  /** Returns the differences from one configuration to a later one. */
  public static List<ConfigurationDifference> between(Deployment before, Deployment after) {
    ConfigurationDiff diff = new ConfigurationDiff();
    diff.compare(
        "",
        DeploymentCodec.mapper().valueToTree(before),
        DeploymentCodec.mapper().valueToTree(after));
    return List.copyOf(diff.differences);
  }

  private void compare(String path, JsonNode before, JsonNode after) {
    if (before == null) {
      add(Kind.ADDED, path, "", after.toString());
    } else if (after == null) {
      add(Kind.REMOVED, path, before.toString(), "");
    } else if (before.isContainerNode() && after.isContainerNode()) {
      Map<String, JsonNode> earlier = children(path, before);
      Map<String, JsonNode> later = children(path, after);
      Set<String> fields = new LinkedHashSet<>(earlier.keySet());
      fields.addAll(later.keySet());
      fields.forEach(field -> compare(field, earlier.get(field), later.get(field)));
    } else if (!before.equals(after)) {
      add(Kind.CHANGED, path, before.toString(), after.toString());
    }
  }

  private static Map<String, JsonNode> children(String path, JsonNode node) {
    Map<String, JsonNode> children = new LinkedHashMap<>();
    if (node.isArray()) {
      node.forEach(item -> children.put(path + "[" + item.path("name").asText() + "]", item));
    } else {
      String prefix = path.isEmpty() ? "" : path + ".";
      node.properties().forEach(field -> children.put(prefix + field.getKey(), field.getValue()));
    }
    return children;
  }

  private void add(Kind kind, String path, String before, String after) {
    differences.add(new ConfigurationDifference(kind, path, before, after));
  }
}
