package org.basilport.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.basilport.daemon.http.Json;
import org.basilport.error.Outcome;

/** Sends calls that may not be repeated and remembers what each caller was told. */
final class CallLoop {
  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final long INTERVAL_MILLIS = 50;
  private static final int ATTEMPTS = 3;
  private static final int OK = 200;

  /** What the caller of a key knows. */
  enum Told {
    /** Every attempt was answered NOT_RUN or could not connect. */
    NOT_RUN,
    /** The service's answer arrived. */
    DONE,
    /** At least one attempt may have run. */
    UNKNOWN
  }

  private final ProcessFleet fleet;
  private final HttpClient http;
  private final ProcessFaultReport report;
  private final Map<String, Told> told = new ConcurrentHashMap<>();

  CallLoop(ProcessFleet fleet, HttpClient http, ProcessFaultReport report) {
    this.fleet = fleet;
    this.http = http;
    this.report = report;
  }

  /** Sends calls one after another while wanted. */
  void run(SplittableRandom random, BooleanSupplier wanted) throws InterruptedException {
    while (wanted.getAsBoolean()) {
      String key =
          System.currentTimeMillis() / 1_000
              + "-"
              + Long.toHexString(random.nextLong())
              + "key-of-run";
      told.put(key, call(key, random));
      report.count("calls: " + told.get(key));
      Thread.sleep(INTERVAL_MILLIS);
    }
  }

  private Told call(String key, SplittableRandom random) throws InterruptedException {
    Told result = Told.NOT_RUN;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      String address = fleet.addresses(random).get(random.nextInt(2));
      Told answer = attempt(address, key);
      if (answer == Told.DONE) {
        return Told.DONE;
      }
      if (answer == Told.UNKNOWN) {
        result = Told.UNKNOWN;
      }
    }
    return result;
  }

  private Told attempt(String address, String key) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://" + address + "/v1/services/" + LoadDeployment.CALL_ROUTE + "/move"))
            .timeout(TIMEOUT)
            .header("Basilport-Workspace", LoadDeployment.WORKSPACE)
            .header("Authorization", "Bearer " + LoadDeployment.WORKSPACE_KEY)
            .header("Repeatable", "false")
            .header("Request-Key", key)
            .POST(BodyPublishers.ofString("{}"))
            .build();
    try {
      HttpResponse<String> response = http.send(request, BodyHandlers.ofString());
      if (response.statusCode() == OK) {
        return Told.DONE;
      }
      JsonNode failure = Json.tree(response.body());
      return failure.path("outcome").asText().equals(Outcome.NOT_RUN.name())
          ? Told.NOT_RUN
          : Told.UNKNOWN;
    } catch (ConnectException e) {
      return Told.NOT_RUN;
    } catch (IOException e) {
      return Told.UNKNOWN;
    }
  }

  /** Compares what callers were told with what the service executed. */
  void check(Map<String, Integer> executions) {
    executions.forEach(
        (key, count) -> {
          if (count > 1) {
            report.violation("G4 key " + key + " was executed " + count + " times");
          }
        });
    told.forEach(
        (key, answer) -> {
          int count = executions.getOrDefault(key, 0);
          if (answer == Told.NOT_RUN && count > 0) {
            report.violation("G3 key " + key + " was told NOT_RUN and was executed");
          }
          if (answer == Told.DONE && count == 0) {
            report.violation("G2 key " + key + " was answered and was not executed");
          }
        });
    report.count("calls: executed keys", executions.size());
  }
}
