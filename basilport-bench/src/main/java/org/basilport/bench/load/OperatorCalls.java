package org.basilport.bench.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;
import org.basilport.config.ConfigurationChange;
import org.basilport.daemon.http.Json;

/** An operator's calls of one instance. */
final class OperatorCalls {
  private static final int OK = 200;

  private final HttpClient http;
  private final Duration timeout;

  OperatorCalls(HttpClient http, Duration timeout) {
    this.http = http;
    this.timeout = timeout;
  }

  /** Status of an apply: 200 when it was accepted. Fails when the answer is not known. */
  int apply(String address, ConfigurationChange change) throws IOException, InterruptedException {
    HttpRequest request =
        request(address, "/v1/operator/config")
            .POST(BodyPublishers.ofString(Json.write(change)))
            .build();
    return http.send(request, BodyHandlers.ofString()).statusCode();
  }

  /** Number in force at an instance, or nothing when it does not answer. */
  Optional<Long> numberInForce(String address) throws InterruptedException {
    try {
      HttpResponse<String> answer =
          http.send(request(address, "/v1/operator/config").GET().build(), BodyHandlers.ofString());
      return answer.statusCode() == OK
          ? Optional.of(Json.tree(answer.body()).path("number").asLong())
          : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Whether an instance serves. */
  boolean ready(String address) throws InterruptedException {
    try {
      return http.send(request(address, "/readyz").GET().build(), BodyHandlers.ofString())
              .statusCode()
          == OK;
    } catch (IOException e) {
      return false;
    }
  }

  /** Number of backend servers whose report an instance has. */
  int reportedBackends(String address) throws InterruptedException {
    try {
      HttpResponse<String> answer =
          http.send(
              request(address, "/v1/operator/engines").GET().build(), BodyHandlers.ofString());
      int reported = 0;
      for (var engine : Json.tree(answer.body())) {
        reported += engine.path("report").isObject() ? 1 : 0;
      }
      return reported;
    } catch (IOException e) {
      return 0;
    }
  }

  private HttpRequest.Builder request(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .timeout(timeout)
        .header("Basilport-Operator-Key", LoadDeployment.OPERATOR_KEY);
  }
}
