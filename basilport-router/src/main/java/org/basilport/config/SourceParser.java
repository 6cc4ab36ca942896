package org.basilport.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.List;

/** Parses a YAML file into nodes with line numbers. */
final class SourceParser {
  private static final YAMLFactory FACTORY = new YAMLFactory();

  private final ConfigurationSource source;
  private final List<ConfigurationProblem> problems;

  SourceParser(ConfigurationSource source, List<ConfigurationProblem> problems) {
    this.source = source;
    this.problems = problems;
  }

  /** Parses the file; an unreadable file is reported and yields an empty node. */
  SourceNode parse() {
    try (JsonParser parser = FACTORY.createParser(source.yaml())) {
      SourceNode root =
          parser.nextToken() == null ? SourceNode.map(source.file(), 1) : node(parser, "");
      if (parser.nextToken() != null) {
        report(line(parser), "", "a file must contain exactly one YAML document");
      }
      return root;
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      report(line, "", "is not valid YAML: " + firstLine(e.getOriginalMessage()));
    } catch (IOException e) {
      report(0, "", "cannot be read: " + e.getMessage());
    }
    return SourceNode.empty(source.file(), 0);
  }

  private SourceNode node(JsonParser parser, String path) throws IOException {
    JsonToken token = parser.currentToken();
    int line = line(parser);
    if (token == JsonToken.START_OBJECT) {
      return map(parser, line, path);
    }
    if (token == JsonToken.START_ARRAY) {
      SourceNode list = SourceNode.list(source.file(), line);
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        list.items().add(node(parser, path + "[" + list.items().size() + "]"));
      }
      return list;
    }
    return token == JsonToken.VALUE_NULL
        ? SourceNode.empty(source.file(), line)
        : SourceNode.scalar(source.file(), line, parser.getText());
  }

  private SourceNode map(JsonParser parser, int line, String path) throws IOException {
    SourceNode map = SourceNode.map(source.file(), line);
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      String field = path.isEmpty() ? name : path + "." + name;
      int fieldLine = line(parser);
      parser.nextToken();
      if (map.fields().put(name, node(parser, field)) != null) {
        report(fieldLine, field, "the field is set more than once");
      }
    }
    return map;
  }

  private int line(JsonParser parser) {
    return parser.currentTokenLocation().getLineNr();
  }

  private void report(int line, String field, String message) {
    problems.add(new ConfigurationProblem(source.file(), line, field, message));
  }

  private static String firstLine(String message) {
    return message.lines().findFirst().orElse("");
  }
}
