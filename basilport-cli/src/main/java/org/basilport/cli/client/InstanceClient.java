package org.basilport.cli.client;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Executors;
import org.basilport.daemon.http.FailureBody;
import org.basilport.daemon.http.Json;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;

/** Sends requests to instances and converts error responses into exceptions. */
public final class InstanceClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .executor(Executors.newCachedThreadPool(InstanceClient::daemonThread))
          .build();

  /**
   * Sends a request and reads the complete response; throws {@code BasilportException} on failure.
   */
  public HttpResponse<String> send(
      String address, String method, String path, Map<String, String> headers, String body) {
    HttpRequest request =
        build(address, method, path, headers, body).timeout(REQUEST_TIMEOUT).build();
    HttpResponse<String> response = exchange(address, request, BodyHandlers.ofString());
    throwIfError(address, response, response.body());
    return response;
  }

  /**
   * Sends a call of an application service; an error status set by the service itself is returned
   * rather than thrown.
   *
   * @param serviceHeader header that is present in responses of the service
   */
  public HttpResponse<String> sendServiceCall(
      String address, String path, Map<String, String> headers, String body, String serviceHeader) {
    HttpRequest request =
        build(address, "POST", path, headers, body).timeout(REQUEST_TIMEOUT).build();
    HttpResponse<String> response = exchange(address, request, BodyHandlers.ofString());
    if (response.headers().firstValue(serviceHeader).isEmpty()) {
      throwIfError(address, response, response.body());
      String text = "response without the header " + serviceHeader;
      throw failure(address, Outcome.MAY_HAVE_RUN, Step.SEND, text, null);
    }
    return response;
  }

  /** Opens a stream of server-sent events. */
  public HttpResponse<InputStream> open(
      String address, String method, String path, Map<String, String> headers, String body) {
    HttpRequest request = build(address, method, path, headers, body).build();
    HttpResponse<InputStream> response = exchange(address, request, BodyHandlers.ofInputStream());
    if (!isSuccess(response)) {
      throwIfError(address, response, readAll(address, response.body()));
    }
    return response;
  }

  private static HttpRequest.Builder build(
      String address, String method, String path, Map<String, String> headers, String body) {
    HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + address + path));
    headers.forEach(builder::header);
    return builder.method(
        method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
  }

  private <T> HttpResponse<T> exchange(
      String address, HttpRequest request, HttpResponse.BodyHandler<T> handler) {
    try {
      return http.send(request, handler);
    } catch (ConnectException | HttpConnectTimeoutException e) {
      throw failure(address, Outcome.NOT_RUN, Step.CONNECT, "cannot connect", e);
    } catch (IOException e) {
      throw failure(address, Outcome.MAY_HAVE_RUN, Step.SEND, "connection failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw failure(address, Outcome.MAY_HAVE_RUN, Step.SEND, "interrupted", e);
    }
  }

  private static void throwIfError(String address, HttpResponse<?> response, String body) {
    if (isSuccess(response)) {
      return;
    }
    try {
      throw new RemoteFailureException(Json.readResponse(body, FailureBody.class, address));
    } catch (RemoteFailureException e) {
      throw e;
    } catch (BasilportException e) {
      String text = "status " + response.statusCode() + " without a failure body";
      throw failure(address, Outcome.MAY_HAVE_RUN, Step.SEND, text, e);
    }
  }

  private static boolean isSuccess(HttpResponse<?> response) {
    return response.statusCode() / 100 == 2;
  }

  private static String readAll(String address, InputStream body) {
    try (body) {
      return new String(body.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw failure(address, Outcome.MAY_HAVE_RUN, Step.SEND, "connection failed", e);
    }
  }

  static UnavailableException failure(
      String address, Outcome outcome, Step step, String problem, Exception cause) {
    return new UnavailableException(
        FailureCode.PEER_UNAVAILABLE,
        outcome,
        step,
        address,
        null,
        problem + ", instance " + address + ": " + cause,
        cause);
  }

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "basilport-client");
    thread.setDaemon(true);
    return thread;
  }
}
