package org.basilport.bench.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the cost of the control plane for several fleet sizes. */
@Command(
    name = "capacity",
    mixinStandardHelpOptions = true,
    description = "Measures the control plane for several fleet sizes on a virtual clock.")
public final class CapacityCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--instances", split = ",", defaultValue = "7,25,50", description = "Instances.")
  private List<Integer> instances;

  @Option(names = "--servers", split = ",", defaultValue = "13", description = "Backend servers.")
  private List<Integer> servers;

  @Option(names = "--workspaces", split = ",", defaultValue = "10", description = "Workspaces.")
  private List<Integer> workspaces;

  @Option(
      names = "--seconds",
      defaultValue = "20",
      description = "Virtual seconds of the quiet phase.")
  private int seconds;

  @Option(names = "--seed", defaultValue = "1", description = "Seed.")
  private long seed;

  @Option(names = "--json", description = "Print one JSON object per line instead of a table.")
  private boolean json;

  @Override
  public Integer call() throws JsonProcessingException {
    PrintWriter out = spec.commandLine().getOut();
    if (!json) {
      out.println(CapacityTable.HEADER);
    }
    for (CapacityPoint point : points()) {
      CapacityResult result =
          new CapacityMeasurement(point, seed, Duration.ofSeconds(seconds)).run();
      out.println(json ? new ObjectMapper().writeValueAsString(result) : CapacityTable.row(result));
      out.flush();
    }
    return 0;
  }

  private List<CapacityPoint> points() {
    List<CapacityPoint> points = new ArrayList<>();
    for (int instanceCount : instances) {
      for (int serverCount : servers) {
        for (int workspaceCount : workspaces) {
          points.add(new CapacityPoint(instanceCount, serverCount, workspaceCount));
        }
      }
    }
    return points;
  }
}
