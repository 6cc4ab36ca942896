package org.basilport.config;

import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Binds nodes to typed records; reports unknown fields and records the node of each path. */
final class RecordBinder {
  private final List<ConfigurationProblem> problems;
  private final Map<String, SourceNode> nodesByPath = new HashMap<>();

  RecordBinder(List<ConfigurationProblem> problems) {
    this.problems = problems;
  }

  /** Returns the node of the field at a path, or the nearest enclosing node. */
  SourceNode nodeAt(String path, SourceNode root) {
    String candidate = path;
    while (!candidate.isEmpty() && !nodesByPath.containsKey(candidate)) {
      int end = Math.max(candidate.lastIndexOf('.'), candidate.lastIndexOf('['));
      candidate = end <= 0 ? "" : candidate.substring(0, end);
    }
    return nodesByPath.getOrDefault(candidate, root);
  }

  <T> T bindRecord(SourceNode node, Class<T> type, String path) {
    nodesByPath.put(path, node);
    RecordComponent[] components = type.getRecordComponents();
    if (node.kind() != SourceNode.Kind.MAP) {
      report(node, path, "must be a map of fields");
      return null;
    }
    reportUnknown(node, components, path);
    Object[] arguments = new Object[components.length];
    boolean complete = true;
    for (int i = 0; i < components.length; i++) {
      arguments[i] = bindField(node, components[i], path);
      complete &= arguments[i] != null;
    }
    return complete ? construct(type, components, arguments) : null;
  }

  private Object bindField(SourceNode node, RecordComponent component, String path) {
    String field = path.isEmpty() ? component.getName() : path + "." + component.getName();
    SourceNode value = node.fields().get(component.getName());
    boolean absent = value == null || value.kind() == SourceNode.Kind.EMPTY;
    if (component.getType() == List.class) {
      return absent ? List.of() : bindList(value, itemType(component), field);
    }
    if (absent) {
      report(value == null ? node : value, field, "is missing");
      return null;
    }
    nodesByPath.put(field, value);
    if (component.getType().isRecord()) {
      return bindRecord(value, component.getType(), field);
    }
    return bindScalar(value, component.getType(), field);
  }

  private Object bindList(SourceNode node, Class<?> type, String path) {
    nodesByPath.put(path, node);
    if (node.kind() != SourceNode.Kind.LIST) {
      report(node, path, "must be a list");
      return null;
    }
    List<Object> items = new ArrayList<>();
    for (int i = 0; i < node.items().size(); i++) {
      SourceNode item = node.items().get(i);
      Object bound = bindRecord(item, type, path + "[" + item.itemName(i) + "]");
      if (bound != null) {
        items.add(bound);
      }
    }
    return items;
  }

  private Object bindScalar(SourceNode node, Class<?> type, String path) {
    if (node.kind() != SourceNode.Kind.SCALAR) {
      report(node, path, "must be a single value");
      return null;
    }
    if (type.isEnum()) {
      return bindEnum(node, type, path);
    }
    try {
      if (type == int.class) {
        return Integer.valueOf(node.text());
      }
      if (type == long.class) {
        return Long.valueOf(node.text());
      }
      return type == double.class ? Double.valueOf(node.text()) : node.text();
    } catch (NumberFormatException e) {
      String kind = type == double.class ? "a number" : "a whole number";
      report(node, path, "must be " + kind + ", was " + node.text());
      return null;
    }
  }

  private Object bindEnum(SourceNode node, Class<?> type, String path) {
    String constantName = node.text().toUpperCase(Locale.ROOT);
    for (Object constant : type.getEnumConstants()) {
      if (((Enum<?>) constant).name().equals(constantName)) {
        return constant;
      }
    }
    String allowed =
        Arrays.stream(type.getEnumConstants())
            .map(constant -> ((Enum<?>) constant).name())
            .collect(Collectors.joining(", "));
    report(node, path, "must be one of " + allowed + ", was " + node.text());
    return null;
  }

  private void reportUnknown(SourceNode node, RecordComponent[] components, String path) {
    node.fields()
        .forEach(
            (name, value) -> {
              if (Arrays.stream(components).noneMatch(c -> c.getName().equals(name))) {
                report(value, path.isEmpty() ? name : path + "." + name, "is not a known field");
              }
            });
  }

  private static Class<?> itemType(RecordComponent component) {
    ParameterizedType list = (ParameterizedType) component.getGenericType();
    return (Class<?>) list.getActualTypeArguments()[0];
  }

  private static <T> T construct(Class<T> type, RecordComponent[] components, Object[] arguments) {
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
    try {
      Constructor<T> constructor = type.getDeclaredConstructor(types);
      return constructor.newInstance(arguments);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("record " + type + " has no canonical constructor", e);
    }
  }

  private void report(SourceNode node, String path, String message) {
    problems.add(node.problem(path, message));
  }
}
