package org.basilport.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Merges an overlay into a base: maps are merged by field and lists of named items by name, other
 * lists and scalars are replaced, and an item with {@code remove: true} is removed.
 */
final class SourceMerger {
  private static final String NAME = "name";
  private static final String REMOVE = "remove";

  private final List<ConfigurationProblem> problems;

  SourceMerger(List<ConfigurationProblem> problems) {
    this.problems = problems;
  }

  SourceNode merge(SourceNode base, SourceNode overlay, String path) {
    if (base.kind() == SourceNode.Kind.MAP && overlay.kind() == SourceNode.Kind.MAP) {
      return mergeMaps(base, overlay, path);
    }
    if (isNamedList(base) && isNamedList(overlay)) {
      return mergeLists(base, overlay, path);
    }
    return overlay;
  }

  private SourceNode mergeMaps(SourceNode base, SourceNode overlay, String path) {
    SourceNode merged = SourceNode.map(overlay.file(), overlay.line());
    merged.fields().putAll(base.fields());
    overlay
        .fields()
        .forEach(
            (name, value) -> {
              String field = path.isEmpty() ? name : path + "." + name;
              SourceNode earlier = merged.fields().get(name);
              SourceNode before =
                  earlier == null ? SourceNode.list(value.file(), value.line()) : earlier;
              merged.fields().put(name, merge(before, value, field));
            });
    return merged;
  }

  private SourceNode mergeLists(SourceNode base, SourceNode overlay, String path) {
    Map<String, SourceNode> byName = byName(base, path);
    byName(overlay, path)
        .forEach(
            (name, item) -> {
              String field = path + "[" + name + "]";
              SourceNode earlier = byName.get(name);
              if (!isRemoval(item, field)) {
                byName.put(name, earlier == null ? item : mergeMaps(earlier, item, field));
              } else if (earlier == null) {
                problems.add(item.problem(field, "cannot be removed, the base does not have it"));
              } else {
                byName.remove(name);
              }
            });
    SourceNode merged = SourceNode.list(overlay.file(), overlay.line());
    merged.items().addAll(byName.values());
    return merged;
  }

  private Map<String, SourceNode> byName(SourceNode list, String path) {
    Map<String, SourceNode> byName = new LinkedHashMap<>();
    for (SourceNode item : list.items()) {
      String name = item.field(NAME);
      if (byName.put(name, item) != null) {
        String message = "the name is used twice in " + item.file();
        problems.add(item.problem(path + "[" + name + "].name", message));
      }
    }
    return byName;
  }

  private boolean isRemoval(SourceNode item, String path) {
    SourceNode remove = item.fields().get(REMOVE);
    if (remove == null) {
      return false;
    }
    if (!remove.text().equals("true")) {
      problems.add(remove.problem(path + ".remove", "must be true or absent"));
    }
    return true;
  }

  private static boolean isNamedList(SourceNode node) {
    return node.kind() == SourceNode.Kind.LIST
        && node.items().stream()
            .allMatch(
                item ->
                    item.kind() == SourceNode.Kind.MAP
                        && item.fields().containsKey(NAME)
                        && !item.field(NAME).isEmpty());
  }
}
