package org.basilport.daemon.http;

import static com.google.common.truth.Truth.assertThat;
import static java.util.concurrent.TimeUnit.SECONDS;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.config.Deployment;
import org.basilport.daemon.DaemonSettings;
import org.basilport.daemon.TimelineCollector;
import org.basilport.delivery.GenerationListener;
import org.basilport.error.BackendException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.misc.LoopbackPorts;
import org.basilport.router.InstanceSettings;
import org.basilport.router.Readiness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

@Timeout(60)
class HttpApiServerTest {
  private static final String OPERATOR_KEY = "operator-key-of-the-test";
  private static final String GENERATION = "{\"route\":\"r\",\"prompt\":\"p\",\"maxTokens\":5}";

  private final FakeRouter fake = new FakeRouter();
  private final HttpClient client = HttpClient.newHttpClient();
  private String address;
  private HttpApiServer server;

  @BeforeEach
  void start() throws Exception {
    address = LoopbackPorts.freeHostAndPort();
    InstanceSettings instance =
        new InstanceSettings("entry-1", 1, "r", "dc", address, address, "k", 1, 1, 1, 1);
    DaemonSettings settings =
        new DaemonSettings(instance, "", OPERATOR_KEY, 1_000, 100, "pattern", "info");
    OperatorActions actions =
        new OperatorActions() {
          @Override
          public List<String> problems(Deployment deployment) {
            return List.of();
          }

          @Override
          public void drain(String reason) {}
        };
    TimelineCollector timeline =
        new TimelineCollector(fake.router().membership(), null, peer -> null);
    server = new HttpApiServer(settings, fake.router(), timeline, actions, new MetricRegistry());
    server.start().join();
  }

  @AfterEach
  void stop() {
    server.stop().join();
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .header("Basilport-Workspace", "w")
        .header("Authorization", "Bearer workspace-key");
  }

  private HttpResponse<String> post(String path, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder builder = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      builder.headers(headers);
    }
    return client.send(builder.build(), BodyHandlers.ofString());
  }

  private static FailureBody failure(HttpResponse<String> response) {
    return Json.readResponse(response.body(), FailureBody.class, "");
  }

  @Nested
  class Generations {
    private CompletableFuture<HttpResponse<String>> send() {
      HttpRequest request =
          request("/v1/generations").POST(HttpRequest.BodyPublishers.ofString(GENERATION)).build();
      return client.sendAsync(request, BodyHandlers.ofString());
    }

    /** Guards against lost event ids, wrong event types and a changed order of events. */
    @Test
    void streamsTokensWithResumeTokensUntilTheEnd() throws Exception {
      CompletableFuture<HttpResponse<String>> response = send();
      GenerationListener listener = fake.started.take();
      listener.onTokens(0, List.of("a", "b"), "t2");
      listener.onTokens(2, List.of("c\n"), "t3");
      listener.onEnd(3, "STOP");
      assertThat(response.get().statusCode()).isEqualTo(200);
      assertThat(response.get().body())
          .isEqualTo(
              "id: t2\nevent: token\ndata: {\"offset\":0,\"tokens\":[\"a\",\"b\"]}\n\n"
                  + "id: t3\nevent: token\ndata: {\"offset\":2,\"tokens\":[\"c\\n\"]}\n\n"
                  + "event: end\ndata: {\"totalTokens\":3,\"reason\":\"STOP\"}\n\n");
    }

    /** Guards against a rejected request that is answered as a started stream. */
    @Test
    void failureBeforeTheFirstTokenIsTheStatus() throws Exception {
      CompletableFuture<HttpResponse<String>> response = send();
      fake.started
          .take()
          .onFailure(new RejectedException(FailureCode.QUEUE_FULL, Step.ADMIT, "queue is full"));
      assertThat(response.get().statusCode()).isEqualTo(503);
      assertThat(failure(response.get()).outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    /** Guards against a lost generation that is reported as complete. */
    @Test
    void failureAfterTokensIsAnErrorEvent() throws Exception {
      CompletableFuture<HttpResponse<String>> response = send();
      GenerationListener listener = fake.started.take();
      listener.onTokens(0, List.of("a"), "t1");
      listener.onFailure(
          new BackendException(
              FailureCode.BACKEND_LOST, Outcome.LOST_PART_WAY, Step.STREAM, "e1", "lost", null));
      assertThat(response.get().body()).contains("event: error");
      assertThat(response.get().body()).contains("\"outcome\":\"LOST_PART_WAY\"");
    }

    /** Guards against a handover from which the caller cannot resume. */
    @Test
    void handoverIsAResumeEventAndItsTokenResumes() throws Exception {
      CompletableFuture<HttpResponse<String>> response = send();
      fake.started.take().onHandover("t9", List.of("127.0.0.1:2"));
      assertThat(response.get().body())
          .isEqualTo(
              "id: t9\nevent: resume\n"
                  + "data: {\"resumeToken\":\"t9\",\"addresses\":[\"127.0.0.1:2\"]}\n\n");
      HttpRequest again =
          request("/v1/generations/events").header("Last-Event-ID", "t9").GET().build();
      CompletableFuture<HttpResponse<String>> second =
          client.sendAsync(again, BodyHandlers.ofString());
      assertThat(fake.resumed.take()).isEqualTo("t9");
      fake.started.take().onEnd(1, "STOP");
      assertThat(second.get().body()).contains("event: end");
    }

    /** Guards against unbounded buffering for a caller that does not read its socket. */
    @Test
    void batchesAreRequestedOnlyAsTheSocketTakesThem() throws Exception {
      try (Socket socket = open()) {
        GenerationListener listener = fake.started.take();
        int passedBatches = 0;
        List<String> tokens = List.of("x".repeat(100_000));
        while (fake.batches.tryAcquire(2, SECONDS)) {
          listener.onTokens(passedBatches, tokens, "t");
          passedBatches++;
          assertThat(passedBatches).isLessThan(500);
        }
        assertThat(passedBatches).isAtLeast(1);
        assertThat(socket.isClosed()).isFalse();
        assertThat(fake.detached.isDone()).isFalse();
      }
    }

    /** Guards against a generation that stays attached after its caller disconnected. */
    @Test
    void disconnectDetaches() throws Exception {
      GenerationListener listener;
      try (Socket socket = open()) {
        listener = fake.started.take();
        listener.onTokens(0, List.of("a"), "t1");
        InputStream input = socket.getInputStream();
        assertThat(input.read()).isEqualTo('H');
      }
      listener.onTokens(1, List.of("b"), "t2");
      fake.detached.get(30, SECONDS);
    }

    /** Guards against a queued request that keeps its place after its caller disconnected. */
    @Test
    void disconnectBeforeTheFirstTokenDetaches() throws Exception {
      Socket socket = open();
      fake.started.take();
      socket.close();
      fake.detached.get(30, SECONDS);
    }

    private Socket open() throws IOException {
      Socket socket = new Socket("127.0.0.1", Integer.parseInt(address.split(":")[1]));
      socket.setReceiveBufferSize(4_096);
      String head =
          "POST /v1/generations HTTP/1.1\r\nHost: x\r\nBasilport-Workspace: w\r\n"
              + "Authorization: Bearer workspace-key\r\nContent-Length: "
              + GENERATION.length()
              + "\r\n\r\n";
      socket.getOutputStream().write((head + GENERATION).getBytes(StandardCharsets.UTF_8));
      return socket;
    }
  }

  @Nested
  class Failures {
    /** Guards against a malformed request that reaches the router or gets another failure code. */
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "{\"route\":\"r\"                                             | 400 | malformed JSON",
          "{\"route\":\"r\",\"prompt\":\"p\",\"maxTokens\":5,\"x\":1}   | 400 | unknown field 'x'",
          "{\"route\":\"r\",\"maxTokens\":5}                            | 400 | prompt",
          "null                                                         | 400 | null",
          "[]                                                           | 400 | malformed JSON"
        })
    void malformedBodyIsRejected(String body, int status, String message) throws Exception {
      HttpResponse<String> response = post("/v1/generations", body);
      assertThat(response.statusCode()).isEqualTo(status);
      assertThat(failure(response).code()).isEqualTo(FailureCode.MALFORMED);
      assertThat(failure(response).message()).contains(message);
      assertThat(fake.started).isEmpty();
    }

    @Test
    void oversizedBodyIsTooLarge() throws Exception {
      HttpResponse<String> response = post("/v1/generations", "x".repeat(1_001));
      assertThat(response.statusCode()).isEqualTo(413);
      assertThat(failure(response).code()).isEqualTo(FailureCode.TOO_LARGE);
    }

    @ParameterizedTest
    @CsvSource({"Authorization,Bearer k", "Basilport-Workspace,w", "X,y"})
    void missingCredentialsAreNamed(String header, String value) throws Exception {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + "/v1/locate?route=r"))
              .header(header, value)
              .build();
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      assertThat(response.statusCode()).isEqualTo(401);
      assertThat(failure(response).message()).contains("missing header");
    }

    @Test
    void leavingInstanceListsOthers() throws Exception {
      fake.failure = new RejectedException(FailureCode.LEAVING, Step.ADMIT, "leaving");
      HttpResponse<String> response = post("/v1/generations", GENERATION);
      assertThat(response.statusCode()).isEqualTo(503);
      assertThat(failure(response).addresses()).containsExactly("127.0.0.1:2");
    }

    @Test
    void unknownEndpointIsNotFound() throws Exception {
      assertThat(failure(post("/v1/nothing", "")).code()).isEqualTo(FailureCode.NOT_FOUND);
    }
  }

  @Nested
  class Calls {
    @Test
    void passesKeyPathAndBody() throws Exception {
      HttpResponse<String> response =
          post("/v1/services/moves/a/b", "{}", "Repeatable", "false", "Request-Key", "1-k");
      assertThat(response.statusCode()).isEqualTo(201);
      assertThat(response.headers().firstValue("Basilport-Request-Id"))
          .isEqualTo(Optional.of("r-1"));
      assertThat(fake.calls.take().path()).isEqualTo("/a/b");
    }

    /**
     * Guards against a non-repeatable call without a request key, and a call that does not state
     * whether it is repeatable.
     */
    @ParameterizedTest
    @CsvSource({"Repeatable,false", "Repeatable,maybe", "Request-Key,1-k"})
    void incompleteHeadersAreRejected(String name, String value) throws Exception {
      HttpResponse<String> response = post("/v1/services/moves", "{}", name, value);
      assertThat(response.statusCode()).isEqualTo(400);
      assertThat(fake.calls).isEmpty();
    }
  }

  @Nested
  class Operators {
    @ParameterizedTest
    @CsvSource({OPERATOR_KEY + ",200", "wrong-operator-key,403", "'',401"})
    void operatorKeyIsRequired(String key, int status) throws Exception {
      HttpRequest request =
          request("/v1/operator/instances").header("Basilport-Operator-Key", key).build();
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      assertThat(response.statusCode()).isEqualTo(status);
      assertThat(response.body()).doesNotContain("operator-key-of");
    }

    /**
     * Guards against a configuration change that is rejected or whose deployment is parsed wrongly.
     */
    @Test
    void appliesConfigurationChange() throws Exception {
      String deployment =
          "{\"site\":\"s\",\"modelServices\":[],\"applicationServices\":[],"
              + "\"workspaces\":[],\"routes\":[]}";
      String change =
          "{\"applyId\":\"a-1\",\"author\":\"me\",\"expectedNumber\":0,\"deployment\":"
              + deployment
              + "}";
      HttpResponse<String> response =
          post("/v1/operator/config", change, "Basilport-Operator-Key", OPERATOR_KEY);
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).contains("\"deployment\":" + deployment);
      HttpResponse<String> checked =
          post("/v1/operator/config/validate", deployment, "Basilport-Operator-Key", OPERATOR_KEY);
      assertThat(checked.body()).isEqualTo("{\"valid\":true,\"problems\":[]}");
    }

    /** Guards against an instance that cannot serve but reports that it is ready. */
    @ParameterizedTest
    @EnumSource(Readiness.class)
    void readinessIsDistinguished(Readiness readiness) throws Exception {
      fake.readiness = readiness;
      HttpResponse<String> response =
          client.send(request("/readyz").build(), BodyHandlers.ofString());
      boolean ready = readiness == Readiness.SERVING || readiness == Readiness.STALE_CONFIGURATION;
      assertThat(response.statusCode()).isEqualTo(ready ? 200 : 503);
      assertThat(response.body()).contains(readiness.name());
    }
  }
}
