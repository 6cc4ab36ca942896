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

/** Sends non-repeatable calls and records the outcome that was reported for each request key. */
final class CallLoop {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(15);
  private static final long INTERVAL_MILLIS = 50;
  private static final int MAX_ATTEMPTS = 3;
  private static final int OK = 200;

  /** Outcome of a request key as reported to its caller. */
  enum ReportedOutcome {
    /** Every attempt returned NOT_RUN or failed to connect. */
    NOT_RUN,
    /** The service's response was received. */
    DONE,
    /** No response was received, and at least one attempt may have run. */
    UNKNOWN
  }

  private final ProcessFleet fleet;
  private final HttpClient http;
  private final ProcessFaultReport report;
  private final Map<String, ReportedOutcome> reportedOutcomes = new ConcurrentHashMap<>();

  CallLoop(ProcessFleet fleet, HttpClient http, ProcessFaultReport report) {
    this.fleet = fleet;
    this.http = http;
    this.report = report;
  }

  /** Sends one call after another until the run stops. */
  void run(SplittableRandom random, BooleanSupplier running) throws InterruptedException {
    while (running.getAsBoolean()) {
      String key =
          System.currentTimeMillis() / 1_000
              + "-"
              + Long.toHexString(random.nextLong())
              + "key-of-run";
      reportedOutcomes.put(key, call(key, random));
      report.count("calls: " + reportedOutcomes.get(key));
      Thread.sleep(INTERVAL_MILLIS);
    }
  }

  private ReportedOutcome call(String key, SplittableRandom random) throws InterruptedException {
    ReportedOutcome result = ReportedOutcome.NOT_RUN;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      String address = fleet.addresses(random).get(random.nextInt(2));
      ReportedOutcome outcome = attempt(address, key);
      if (outcome == ReportedOutcome.DONE) {
        return ReportedOutcome.DONE;
      }
      if (outcome == ReportedOutcome.UNKNOWN) {
        result = ReportedOutcome.UNKNOWN;
      }
    }
    return result;
  }

  private ReportedOutcome attempt(String address, String key) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://" + address + "/v1/services/" + LoadDeployment.CALL_ROUTE + "/move"))
            .timeout(CALL_TIMEOUT)
            .header("Basilport-Workspace", LoadDeployment.WORKSPACE)
            .header("Authorization", "Bearer " + LoadDeployment.WORKSPACE_KEY)
            .header("Repeatable", "false")
            .header("Request-Key", key)
            .POST(BodyPublishers.ofString("{}"))
            .build();
    try {
      HttpResponse<String> response = http.send(request, BodyHandlers.ofString());
      if (response.statusCode() == OK) {
        return ReportedOutcome.DONE;
      }
      JsonNode failure = Json.tree(response.body());
      return failure.path("outcome").asText().equals(Outcome.NOT_RUN.name())
          ? ReportedOutcome.NOT_RUN
          : ReportedOutcome.UNKNOWN;
    } catch (ConnectException e) {
      return ReportedOutcome.NOT_RUN;
    } catch (IOException e) {
      return ReportedOutcome.UNKNOWN;
    }
  }

  /** Compares the reported outcomes with the executions of each request key at the service. */
  void checkExecutions(Map<String, Integer> executions) {
    executions.forEach(
        (key, count) -> {
          if (count > 1) {
            report.addViolation("G4 key " + key + " was executed " + count + " times");
          }
        });
    reportedOutcomes.forEach(
        (key, outcome) -> {
          int count = executions.getOrDefault(key, 0);
          if (outcome == ReportedOutcome.NOT_RUN && count > 0) {
            report.addViolation("G3 key " + key + " was reported as NOT_RUN but was executed");
          }
          if (outcome == ReportedOutcome.DONE && count == 0) {
            report.addViolation("G2 key " + key + " was answered but was not executed");
          }
        });
    report.count("calls: executed keys", executions.size());
  }
}
