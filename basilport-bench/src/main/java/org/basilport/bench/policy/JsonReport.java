package org.basilport.bench.policy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Renders the settings, the measures of every run and the targets as JSON. */
final class JsonReport {
  private final ObjectMapper mapper = new ObjectMapper();

  String render(BenchmarkResult result) {
    ObjectNode root = mapper.createObjectNode();
    BenchmarkSettings settings = result.settings();
    root.put("seeds", settings.seeds());
    root.put("firstSeed", settings.firstSeed());
    root.put("durationSeconds", settings.duration().toSeconds());
    root.put("warmUpSeconds", settings.warmUp().toSeconds());
    root.put("engine", settings.engine().toString());
    ArrayNode runs = root.putArray("runs");
    for (BenchmarkRun run : result.runs()) {
      ObjectNode node = runs.addObject();
      node.put("service", run.deployment().service());
      node.put("workload", run.workload().name());
      node.put("policy", run.candidate().title());
      node.put("seed", run.seed());
      ObjectNode measures = node.putObject("measures");
      for (Measure measure : Measure.values()) {
        measures.put(measure.title(), run.result().value(measure));
      }
    }
    ArrayNode targets = root.putArray("targets");
    for (Target target : new TargetCheck(result).check()) {
      ObjectNode node = targets.addObject();
      node.put("name", target.name());
      node.put("value", Double.toString(target.value()));
      node.put("bound", target.bound());
      node.put("met", target.met());
    }
    return root.toPrettyString();
  }
}
