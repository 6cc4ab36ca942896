package org.basilport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.basilport.daemon.http.Json;

/** Formats JSON as text: lists of objects as tables, anything else as indented JSON. */
final class TextTable {
  private static final String COLUMN_SEPARATOR = "  ";

  private final Map<String, Integer> widths = new LinkedHashMap<>();
  private final List<Map<String, String>> rows = new ArrayList<>();

  private TextTable() {}

  static String format(JsonNode json) {
    boolean table = json.isArray() && json.size() > 0 && json.get(0).isObject();
    if (!table) {
      return Json.writeIndented(json) + System.lineSeparator();
    }
    TextTable text = new TextTable();
    json.forEach(item -> text.addRow(item));
    return text.render();
  }

  private void addRow(JsonNode item) {
    Map<String, String> row = new LinkedHashMap<>();
    item.properties()
        .forEach(
            field -> {
              String value =
                  field.getValue().isValueNode()
                      ? field.getValue().asText()
                      : field.getValue().toString();
              row.put(field.getKey(), value);
              int width = Math.max(field.getKey().length(), value.length());
              widths.merge(field.getKey(), width, Math::max);
            });
    rows.add(row);
  }

  private String render() {
    StringBuilder text = new StringBuilder();
    Map<String, String> header = new LinkedHashMap<>();
    widths.keySet().forEach(name -> header.put(name, name));
    renderRow(text, header);
    rows.forEach(row -> renderRow(text, row));
    return text.toString();
  }

  private void renderRow(StringBuilder text, Map<String, String> row) {
    StringBuilder line = new StringBuilder();
    widths.forEach(
        (name, width) -> {
          String value = row.getOrDefault(name, "");
          line.append(value).append(" ".repeat(width - value.length())).append(COLUMN_SEPARATOR);
        });
    text.append(line.toString().stripTrailing()).append(System.lineSeparator());
  }
}
