package org.basilport.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Value in a configuration file, with its file and line. */
final class SourceNode {
  private final Kind kind;
  private final String file;
  private final int line;
  private final String text;
  private final Map<String, SourceNode> fields = new LinkedHashMap<>();
  private final List<SourceNode> items = new ArrayList<>();

  private SourceNode(Kind kind, String file, int line, String text) {
    this.kind = kind;
    this.file = file;
    this.line = line;
    this.text = text;
  }

  static SourceNode scalar(String file, int line, String text) {
    return new SourceNode(Kind.SCALAR, file, line, text);
  }

  static SourceNode empty(String file, int line) {
    return new SourceNode(Kind.EMPTY, file, line, "");
  }

  static SourceNode map(String file, int line) {
    return new SourceNode(Kind.MAP, file, line, "");
  }

  static SourceNode list(String file, int line) {
    return new SourceNode(Kind.LIST, file, line, "");
  }

  Kind kind() {
    return kind;
  }

  String file() {
    return file;
  }

  int line() {
    return line;
  }

  /** Returns the text of a scalar as written in the file, without quotes. */
  String text() {
    return text;
  }

  Map<String, SourceNode> fields() {
    return fields;
  }

  List<SourceNode> items() {
    return items;
  }

  /** Returns the text of a scalar field, empty if the field is absent. */
  String field(String name) {
    SourceNode field = fields.get(name);
    return field == null ? "" : field.text;
  }

  /** Returns the name of a list item for use in paths, or its position if it has no name. */
  String itemName(int position) {
    String name = kind == Kind.MAP ? field("name") : "";
    return name.isEmpty() ? Integer.toString(position) : name;
  }

  ConfigurationProblem problem(String field, String message) {
    return new ConfigurationProblem(file, line, field, message);
  }

  enum Kind {
    MAP,
    LIST,
    SCALAR,
    EMPTY
  }
}
