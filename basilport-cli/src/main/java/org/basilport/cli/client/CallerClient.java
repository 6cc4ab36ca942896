package org.basilport.cli.client;

import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.basilport.daemon.http.Json;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.router.CallRequest;

/**
 * Client for callers: locates the instances of a route, caches locations for their lifetime and
 * sends requests.
 */
public final class CallerClient {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final String REQUEST_ID = "Basilport-Request-Id";

  private final Caller caller;
  private final InstanceClient client;
  private final Map<String, CachedLocation> locationCache = new HashMap<>();

  /** Creates a client that sends requests through the given instance client. */
  public CallerClient(Caller caller, InstanceClient client) {
    this.caller = caller;
    this.client = client;
  }

  /** Returns the instances to use for a route, from the cache while the location is valid. */
  public synchronized LocationResponse locate(String route) {
    CachedLocation cached = locationCache.get(route);
    if (cached != null && System.nanoTime() - cached.expiresAtNanos < 0) {
      return cached.location;
    }
    String path =
        "/v1/locate?route=" + encode(route) + "&dataCentre=" + encode(caller.dataCentre());
    LocationResponse location =
        tryInOrder(
            caller.entries(),
            address ->
                new InstanceAnswer(address, client.send(address, "GET", path, headers(), "").body())
                    .as(LocationResponse.class));
    long expiresAt = System.nanoTime() + location.lifetimeMillis() * NANOS_PER_MILLI;
    locationCache.put(route, new CachedLocation(location, expiresAt));
    return location;
  }

  /** Reads a generation to its end and reconnects as often as needed, up to a limit. */
  public GenerationSummary generate(GenerationRequest request, TokenConsumer consumer) {
    return new GenerationReader(this, client, consumer).read(request);
  }

  /** Calls an application service; an attempt that did not run is repeated at the next address. */
  public CallResponse call(CallRequest request) {
    Map<String, String> headers = headers();
    headers.put("Repeatable", String.valueOf(request.repeatable()));
    if (!request.requestKey().isEmpty()) {
      headers.put("Request-Key", request.requestKey());
    }
    String path = "/v1/services/" + encode(request.route()) + request.path();
    return tryInOrder(
        locate(request.route()).addresses(), address -> call(address, path, headers, request));
  }

  /** Submits a generation whose result is collected later; returns the id of the job. */
  public String submitDeferred(GenerationRequest request) {
    return tryInOrder(
        locate(request.route()).addresses(),
        address -> {
          String body =
              client.send(address, "POST", "/v1/deferred", headers(), Json.write(request)).body();
          return new InstanceAnswer(address, body).as(SubmittedJob.class).id();
        });
  }

  /** Returns the state of a job as JSON. */
  public String collectDeferred(String id) {
    String path = "/v1/deferred/" + encode(id);
    return tryInOrder(
        caller.entries(), address -> client.send(address, "GET", path, headers(), "").body());
  }

  /**
   * Tries addresses in order until one succeeds. Continues only after a failure that concerns the
   * instance rather than the request and proves that the request did not run.
   */
  <T> T tryInOrder(List<String> addresses, Function<String, T> attempt) {
    List<String> remaining = new ArrayList<>(addresses);
    Set<String> tried = new LinkedHashSet<>();
    BasilportException last = null;
    while (!remaining.isEmpty()) {
      String address = remaining.remove(0);
      if (!tried.add(address)) {
        continue;
      }
      try {
        return attempt.apply(address);
      } catch (BasilportException e) {
        if (!isInstanceFailure(e)) {
          throw e;
        }
        last = e;
        if (e instanceof RemoteFailureException) {
          remaining.addAll(((RemoteFailureException) e).addresses());
        }
      }
    }
    if (last == null) {
      throw new IllegalArgumentException("no address of an entry instance is given");
    }
    throw last;
  }

  Map<String, String> headers() {
    Map<String, String> headers = new HashMap<>();
    headers.put("Basilport-Workspace", caller.workspace());
    headers.put("Authorization", "Bearer " + caller.key());
    return headers;
  }

  private CallResponse call(
      String address, String path, Map<String, String> headers, CallRequest request) {
    HttpResponse<String> response =
        client.sendServiceCall(address, path, headers, request.body(), REQUEST_ID);
    return new CallResponse(
        response.headers().firstValue(REQUEST_ID).orElse(""),
        response.statusCode(),
        response.headers().firstValue("Basilport-Duplicate").orElse("").equals("true"),
        response.body());
  }

  private static boolean isInstanceFailure(BasilportException failure) {
    FailureCode code = failure.code();
    return failure.outcome() == Outcome.NOT_RUN
        && (code == FailureCode.PEER_UNAVAILABLE
            || code == FailureCode.LEAVING
            || code == FailureCode.NOT_READY);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  /** Response to a submitted job. */
  private record SubmittedJob(String id) {
    private SubmittedJob {
      Objects.requireNonNull(id, "id");
    }
  }

  private record CachedLocation(LocationResponse location, long expiresAtNanos) {}
}
