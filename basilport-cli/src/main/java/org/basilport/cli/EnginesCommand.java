package org.basilport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.basilport.daemon.http.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Lists the backend servers known to one instance. */
@Command(name = "engines", description = "List backend servers with their latest load reports.")
final class EnginesCommand extends BaseCommand {
  @Mixin private OperatorOptions operator;

  @Option(names = "--json", description = "print the response as JSON")
  private boolean json;

  @Override
  ExitCode execute() {
    String response = operator.client().get("/v1/operator/engines");
    if (json) {
      out().println(response);
    } else {
      out().print(TextTable.format(rows(Json.tree(response))));
    }
    return ExitCode.DONE;
  }

  private static ArrayNode rows(JsonNode response) {
    ArrayNode rows = JsonNodeFactory.instance.arrayNode();
    for (JsonNode item : response) {
      ObjectNode row = rows.addObject();
      row.setAll((ObjectNode) item.path("server"));
      JsonNode report = item.path("report");
      for (String field : new String[] {"capacityTokens", "usedTokens", "waiting", "preemptions"}) {
        row.put(field, report.path(field).asText("-"));
      }
      row.put("running", report.path("running").size());
    }
    return rows;
  }
}
