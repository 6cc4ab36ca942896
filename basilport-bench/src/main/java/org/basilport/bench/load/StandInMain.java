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
 * The stand-ins of a run as a process: prints the platform's address, then answers each line on
 * standard input with the executions of each request key as JSON, and ends with standard input.
 */
public final class StandInMain {
  private StandInMain() {}

  /** Runs the stand-ins; the arguments are the numbers of engines and replicas, and the seed. */
  public static void main(String[] arguments) throws Exception {
    PrintStream answers = System.out;
    // Ratpack prints its start messages to standard output.
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
    answers.println(standIns.platformAddress());
    answers.flush();
    BufferedReader questions =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    while (questions.readLine() != null) {
      answers.println(Json.write(standIns.counts().byKey()));
      answers.flush();
    }
    Runtime.getRuntime().halt(0);
  }
}
