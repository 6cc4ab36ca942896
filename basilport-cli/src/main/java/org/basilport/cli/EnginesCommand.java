package org.basilport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.basilport.cli.client.InstanceAnswer;
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
    InstanceAnswer answer = operator.client().get("/v1/operator/engines");
    ArrayNode engines = answer.as(ArrayNode.class);
    if (json) {
      out().println(answer.body());
    } else {
      out().print(TextTable.format(rows(engines)));
    }
    return ExitCode.DONE;
  }

  private static ArrayNode rows(ArrayNode response) {
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
