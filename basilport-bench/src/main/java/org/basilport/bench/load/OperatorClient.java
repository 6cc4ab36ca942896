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

/** HTTP client for the operator interface of instances. */
final class OperatorClient {
  private static final int OK = 200;

  private final HttpClient http;
  private final Duration timeout;

  OperatorClient(HttpClient http, Duration timeout) {
    this.http = http;
    this.timeout = timeout;
  }

  /**
   * Applies a configuration change at an instance.
   *
   * @return HTTP status, 200 when the change was accepted
   * @throws IOException when no answer was received; the change may have been accepted
   */
  int apply(String address, ConfigurationChange change) throws IOException, InterruptedException {
    HttpRequest request =
        request(address, "/v1/operator/config")
            .POST(BodyPublishers.ofString(Json.write(change)))
            .build();
    return http.send(request, BodyHandlers.ofString()).statusCode();
  }

  /**
   * Returns the number of the configuration in force, or empty when the instance does not respond.
   */
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

  /** Returns whether an instance is ready. */
  boolean ready(String address) throws InterruptedException {
    try {
      return http.send(request(address, "/readyz").GET().build(), BodyHandlers.ofString())
              .statusCode()
          == OK;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns the number of backend servers whose load report an instance has received. */
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
