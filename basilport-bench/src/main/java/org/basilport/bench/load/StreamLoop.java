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

/** Reads streams one after another and continues each one after a lost connection. */
final class StreamLoop {
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration RESUME_LIMIT = Duration.ofSeconds(25);
  private static final long RETRY_MILLIS = 200;
  private static final int OK = 200;

  private final ProcessFleet fleet;
  private final HttpClient http;
  private final ProcessFaultReport report;

  StreamLoop(ProcessFleet fleet, HttpClient http, ProcessFaultReport report) {
    this.fleet = fleet;
    this.http = http;
    this.report = report;
  }

  /** Reads streams while wanted; the last one is read to its end. */
  void run(SplittableRandom random, BooleanSupplier wanted) throws InterruptedException {
    while (wanted.getAsBoolean()) {
      int tokens = random.nextInt(20, 300);
      new Reading(tokens, random).read();
    }
  }

  /** One stream over its connections. */
  private final class Reading {
    private final int wanted;
    private final SplittableRandom random;
    private final String name;
    private String lastEventId = "";
    private String generation = "";
    private int next;
    private boolean finished;
    private long lostAtNanos;

    Reading(int wanted, SplittableRandom random) {
      this.wanted = wanted;
      this.random = random;
      this.name = Long.toHexString(random.nextLong());
    }

    void read() throws InterruptedException {
      report.count("streams: started");
      lostAtNanos = System.nanoTime();
      while (!finished) {
        String address = fleet.addresses(random).get(0);
        connect(address);
        if (!finished) {
          checkTime();
          Thread.sleep(RETRY_MILLIS);
        }
      }
    }

    private void checkTime() {
      if (System.nanoTime() - lostAtNanos > RESUME_LIMIT.toNanos()) {
        finished = true;
        if (next == 0) {
          report.count("streams: not started in time");
        } else {
          report.violation(
              "stream " + name + " was not continued within " + RESUME_LIMIT.toSeconds() + " s");
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
              connectionLost();
            }
          } else {
            refused(new String(body.readAllBytes(), StandardCharsets.UTF_8));
          }
        }
      } catch (ConnectException e) {
        report.count("streams: connections refused");
      } catch (IOException e) {
        connectionLost();
      }
    }

    /** Without a resume token the caller cannot continue, and does not know what ran. */
    private void connectionLost() {
      report.count("streams: connections lost");
      if (lastEventId.isEmpty()) {
        finished = true;
        report.count("streams: lost before the first token");
      }
    }

    private HttpRequest request(String address) {
      HttpRequest.Builder request =
          HttpRequest.newBuilder()
              .timeout(ANSWER_TIMEOUT)
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
              LoadDeployment.STREAM_ROUTE, "box " + name + " length=" + wanted, wanted);
      return request
          .uri(URI.create("http://" + address + "/v1/generations"))
          .POST(BodyPublishers.ofString(Json.write(body)))
          .build();
    }

    private void refused(String text) {
      JsonNode failure = Json.tree(text);
      boolean notRun = failure.path("outcome").asText().equals(Outcome.NOT_RUN.name());
      report.count("streams: refused as " + failure.path("code").asText());
      if (lastEventId.isEmpty() && !notRun) {
        finished = true;
        report.count("streams: may have run");
      } else if (!lastEventId.isEmpty()
          && failure.path("outcome").asText().equals(Outcome.LOST_PART_WAY.name())) {
        lost(failure);
      }
    }

    /** No engine dies in this run, so no loss is excused. */
    private void lost(JsonNode failure) {
      violation("was lost although no engine died: " + failure);
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
          handle(event, id, Json.tree(line.substring("data: ".length())));
          if (event.equals("resume")) {
            return;
          }
        }
        line = lines.readLine();
      }
    }

    private void handle(String event, String id, JsonNode data) {
      switch (event) {
        case "token":
          tokens(data);
          lastEventId = id;
          lostAtNanos = System.nanoTime();
          return;
        case "end":
          end(data);
          return;
        case "resume":
          report.count("streams: handed over");
          lastEventId = data.path("resumeToken").asText();
          return;
        case "error":
          if (next == 0 && data.path("outcome").asText().equals(Outcome.NOT_RUN.name())) {
            report.count("streams: refused as " + data.path("code").asText());
            return;
          }
          lost(data);
          return;
        default:
          violation("has an unknown event " + event);
      }
    }

    private void tokens(JsonNode data) {
      if (data.path("offset").asLong() != next) {
        violation("has offset " + data.path("offset") + " instead of " + next);
      }
      for (JsonNode token : data.path("tokens")) {
        String text = token.asText().trim();
        int colon = text.indexOf(':');
        String owner = text.substring(0, Math.max(0, colon));
        generation = next == 0 ? owner : generation;
        if (!owner.equals(generation) || !text.substring(colon + 1).equals("" + next)) {
          violation("has token " + text + " at " + next + " of generation " + generation);
        }
        next++;
        report.count("streams: tokens");
      }
    }

    private void end(JsonNode data) {
      finished = true;
      if (next == wanted && data.path("totalTokens").asLong() == wanted) {
        report.count("streams: whole");
      } else {
        violation("ended with " + next + " of " + wanted + " tokens: " + data);
      }
    }

    private void violation(String problem) {
      finished = true;
      report.violation("G1 stream " + name + " " + problem);
    }
  }
}
