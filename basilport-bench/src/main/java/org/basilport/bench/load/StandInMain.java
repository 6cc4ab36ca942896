package org.basilport.bench.load;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.basilport.daemon.http.Json;
import org.basilport.standin.engine.EngineSettings;
import org.basilport.standin.site.SiteSettings;
import org.basilport.standin.site.StandInProcess;

/**
 * Main class of the stand-in process. It prints the platform's address, then answers each line on
 * standard input with the number of executions of each request key as JSON, and exits at the end of
 * standard input.
 */
public final class StandInMain {
  private StandInMain() {}

  /** Runs the stand-ins; arguments: number of engines, number of service replicas, seed. */
  public static void main(String[] arguments) throws Exception {
    PrintStream output = System.out;
    // Ratpack prints messages to standard output, which is reserved for the answers.
    System.setOut(System.err);
    StandInProcess standIns =
        new StandInProcess(
            new SiteSettings(
                LoadDeployment.REGION,
                LoadDeployment.DATA_CENTRES,
                LoadDeployment.MODEL_SERVICE,
                Integer.parseInt(arguments[0]),
                LoadDeployment.APPLICATION_SERVICE,
                Integer.parseInt(arguments[1]),
                0,
                Long.parseLong(arguments[2]),
                EngineSettings.defaults().withReportLag(Duration.ofMillis(500))));
    standIns.start().join();
    output.println(standIns.platformAddress());
    output.flush();
    BufferedReader requests =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    while (requests.readLine() != null) {
      output.println(Json.write(standIns.counts().byKey()));
      output.flush();
    }
    Runtime.getRuntime().halt(0);
  }
}
