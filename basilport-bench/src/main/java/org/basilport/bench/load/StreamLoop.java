package org.basilport.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.basilport.daemon.http.Json;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.Outcome;

/** Reads one stream after another and resumes each one after a lost connection. */
final class StreamLoop {
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration RESUME_TIMEOUT = Duration.ofSeconds(25);
  private static final long RETRY_DELAY_MILLIS = 200;
  private static final int OK = 200;

  private final ProcessFleet fleet;
  private final HttpClient http;
  private final ProcessFaultReport report;

  StreamLoop(ProcessFleet fleet, HttpClient http, ProcessFaultReport report) {
    this.fleet = fleet;
    this.http = http;
    this.report = report;
  }

  /** Reads streams until the run stops; the last one is read to its end. */
  void run(SplittableRandom random, BooleanSupplier running) throws InterruptedException {
    while (running.getAsBoolean()) {
      int tokens = random.nextInt(20, 300);
      new ResumableStream(tokens, random).read();
    }
  }

  /** One stream across several connections. */
  private final class ResumableStream {
    private final int expectedTokens;
    private final SplittableRandom random;
    private final String name;
    private String lastEventId = "";
    private String generation = "";
    private int nextToken;
    private boolean finished;
    private long lastProgressNanos;

    ResumableStream(int expectedTokens, SplittableRandom random) {
      this.expectedTokens = expectedTokens;
      this.random = random;
      this.name = Long.toHexString(random.nextLong());
    }

    void read() throws InterruptedException {
      report.count("streams: started");
      lastProgressNanos = System.nanoTime();
      while (!finished) {
        String address = fleet.addresses(random).get(0);
        connect(address);
        if (!finished) {
          checkResumeTimeout();
          Thread.sleep(RETRY_DELAY_MILLIS);
        }
      }
    }

    private void checkResumeTimeout() {
      if (System.nanoTime() - lastProgressNanos > RESUME_TIMEOUT.toNanos()) {
        finished = true;
        if (nextToken == 0) {
          report.count("streams: not started in time");
        } else {
          report.addViolation(
              "stream " + name + " was not resumed within " + RESUME_TIMEOUT.toSeconds() + " s");
        }
      }
    }

    private void connect(String address) throws InterruptedException {
      try {
        HttpResponse<InputStream> response =
            http.send(request(address), BodyHandlers.ofInputStream());
        try (InputStream body = response.body()) {
          if (response.statusCode() == OK) {
            readEvents(body);
            if (!finished) {
              handleLostConnection();
            }
          } else {
            handleRefusal(new String(body.readAllBytes(), StandardCharsets.UTF_8));
          }
        }
      } catch (ConnectException e) {
        report.count("streams: connections refused");
      } catch (IOException e) {
        handleLostConnection();
      }
    }

    /** Ends the stream when there is no resume token yet; whether it ran is then unknown. */
    private void handleLostConnection() {
      report.count("streams: connections lost");
      if (lastEventId.isEmpty()) {
        finished = true;
        report.count("streams: lost before the first token");
      }
    }

    private HttpRequest request(String address) {
      HttpRequest.Builder request =
          HttpRequest.newBuilder()
              .timeout(RESPONSE_TIMEOUT)
              .header("Basilport-Workspace", LoadDeployment.WORKSPACE)
              .header("Authorization", "Bearer " + LoadDeployment.WORKSPACE_KEY);
      if (!lastEventId.isEmpty()) {
        return request
            .uri(URI.create("http://" + address + "/v1/generations/events"))
            .header("Last-Event-ID", lastEventId)
            .GET()
            .build();
      }
      GenerationRequest body =
          new GenerationRequest(
              LoadDeployment.STREAM_ROUTE,
              "box " + name + " length=" + expectedTokens,
              expectedTokens);
      return request
          .uri(URI.create("http://" + address + "/v1/generations"))
          .POST(BodyPublishers.ofString(Json.write(body)))
          .build();
    }

    private void handleRefusal(String text) {
      JsonNode failure = Json.tree(text);
      boolean notRun = failure.path("outcome").asText().equals(Outcome.NOT_RUN.name());
      report.count("streams: refused as " + failure.path("code").asText());
      if (lastEventId.isEmpty() && !notRun) {
        finished = true;
        report.count("streams: may have run");
      } else if (!lastEventId.isEmpty()
          && failure.path("outcome").asText().equals(Outcome.LOST_PART_WAY.name())) {
        handleLoss(failure);
      }
    }

    /** Reports a violation: the run crashes no engine, so no generation may be lost. */
    private void handleLoss(JsonNode failure) {
      reportViolation("was lost although no engine crashed: " + failure);
    }

    private void readEvents(InputStream body) throws IOException {
      BufferedReader lines =
          new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
      String event = "";
      String id = "";
      String line = lines.readLine();
      while (line != null && !finished) {
        if (line.startsWith("id: ")) {
          id = line.substring("id: ".length());
        } else if (line.startsWith("event: ")) {
          event = line.substring("event: ".length());
        } else if (line.startsWith("data: ")) {
          handleEvent(event, id, Json.tree(line.substring("data: ".length())));
          if (event.equals("resume")) {
            return;
          }
        }
        line = lines.readLine();
      }
    }

    private void handleEvent(String event, String id, JsonNode data) {
      switch (event) {
        case "token":
          handleTokens(data);
          lastEventId = id;
          lastProgressNanos = System.nanoTime();
          return;
        case "end":
          handleEnd(data);
          return;
        case "resume":
          report.count("streams: handed over");
          lastEventId = data.path("resumeToken").asText();
          return;
        case "error":
          if (nextToken == 0 && data.path("outcome").asText().equals(Outcome.NOT_RUN.name())) {
            report.count("streams: refused as " + data.path("code").asText());
            return;
          }
          handleLoss(data);
          return;
        default:
          reportViolation("received an unknown event " + event);
      }
    }

    private void handleTokens(JsonNode data) {
      if (data.path("offset").asLong() != nextToken) {
        reportViolation("received offset " + data.path("offset") + " instead of " + nextToken);
      }
      for (JsonNode token : data.path("tokens")) {
        String text = token.asText().trim();
        int colon = text.indexOf(':');
        String tokenGeneration = text.substring(0, Math.max(0, colon));
        generation = nextToken == 0 ? tokenGeneration : generation;
        if (!tokenGeneration.equals(generation)
            || !text.substring(colon + 1).equals("" + nextToken)) {
          reportViolation(
              "received token "
                  + text
                  + " at position "
                  + nextToken
                  + " of generation "
                  + generation);
        }
        nextToken++;
        report.count("streams: tokens");
      }
    }

    private void handleEnd(JsonNode data) {
      finished = true;
      if (nextToken == expectedTokens && data.path("totalTokens").asLong() == expectedTokens) {
        report.count("streams: whole");
      } else {
        reportViolation("ended with " + nextToken + " of " + expectedTokens + " tokens: " + data);
      }
    }

    private void reportViolation(String problem) {
      finished = true;
      report.addViolation("G1 stream " + name + " " + problem);
    }
  }
}
