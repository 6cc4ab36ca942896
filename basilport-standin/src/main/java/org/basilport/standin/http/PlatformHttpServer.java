package org.basilport.standin.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.http.Json;
import org.basilport.platform.ListedInstance;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;
import org.basilport.platform.http.HttpObjectStore;
import org.basilport.standin.platform.MemoryPlatform;
import org.basilport.standin.platform.PlatformClient;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.Headers;
import ratpack.http.TypedData;

/**
 * HTTP server for the in-memory platform, with admin calls: {@code PUT /instances/<id>} adds or
 * replaces an entry of the instance directory, {@code DELETE /instances/<id>} removes one, {@code
 * POST /instances/<id>/leaving} marks one as leaving, and {@code POST /outage?down=true|false}
 * starts or ends an outage.
 */
public final class PlatformHttpServer extends StandInServer {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;

  private final MemoryPlatform platform;

  /** Creates a server on a port of the loopback address, 0 for any free port. */
  public PlatformHttpServer(MemoryPlatform platform, int port) {
    super(port);
    this.platform = platform;
  }

  @Override
  void registerHandlers(Chain chain) throws Exception {
    chain
        .get("objects", this::listObjects)
        .prefix("objects", objects -> objects.all(this::handleObject))
        .get(
            "instances",
            context -> sendWhenComplete(context, client(context).list(), jsonSender(context)))
        .post("instances/:id/leaving", this::markLeaving)
        .path("instances/:id", this::changeInstance)
        .post("weights", this::reserveFetch)
        .post("outage", this::outage);
  }

  private PlatformClient client(Context context) {
    String id = context.getRequest().getHeaders().get(HttpObjectStore.CLIENT_ID);
    return platform.client(id == null ? "" : id);
  }

  private static <T> Consumer<T> jsonSender(Context context) {
    return value -> sendJson(context, value);
  }

  private void listObjects(Context context) {
    String prefix = parameter(context, "prefix").orElse("");
    sendWhenComplete(context, client(context).list(prefix), jsonSender(context));
  }

  private void handleObject(Context context) throws Exception {
    String name =
        URLDecoder.decode(context.getPathBinding().getPastBinding(), StandardCharsets.UTF_8);
    context.byMethod(
        methods ->
            methods
                .get(() -> read(context, name))
                .put(() -> context.getRequest().getBody().then(body -> write(context, name, body)))
                .delete(() -> delete(context, name)));
  }

  private void read(Context context, String name) {
    Optional<String> watched = parameter(context, "watch");
    if (watched.isEmpty()) {
      sendWhenComplete(
          context, client(context).read(name), found -> sendObject(context, found, NOT_FOUND));
      return;
    }
    Duration wait = Duration.ofMillis(Long.parseLong(parameter(context, "waitMillis").orElse("0")));
    sendWhenComplete(
        context,
        client(context).watch(name, Long.parseLong(watched.get()), wait),
        found -> sendObject(context, found, NOT_MODIFIED));
  }

  private void write(Context context, String name, TypedData body) {
    Optional<Long> expected = expectedVersion(context);
    if (expected.isEmpty()) {
      sendFailure(context, missingPrecondition());
      return;
    }
    sendWhenComplete(
        context,
        client(context).write(name, body.getBytes(), expected.get()),
        version -> {
          context.getResponse().getHeaders().set("ETag", etag(version));
          context.getResponse().status(NO_CONTENT).send();
        });
  }

  private void delete(Context context, String name) {
    Optional<Long> expected = expectedVersion(context);
    if (expected.isEmpty()) {
      sendFailure(context, missingPrecondition());
      return;
    }
    sendWhenComplete(
        context,
        client(context).delete(name, expected.get()),
        deleted -> context.getResponse().status(NO_CONTENT).send());
  }

  private static RejectedException missingPrecondition() {
    return new RejectedException(
        FailureCode.MALFORMED, Step.STORE, "If-Match or If-None-Match: * is required");
  }

  private static void sendObject(Context context, Optional<StoredObject> found, int absentStatus) {
    if (found.isEmpty()) {
      context.getResponse().status(absentStatus).send();
      return;
    }
    context.getResponse().getHeaders().set("ETag", etag(found.get().version()));
    context.getResponse().send("application/octet-stream", found.get().value());
  }

  private static String etag(long version) {
    return "\"" + version + "\"";
  }

  private static Optional<Long> expectedVersion(Context context) {
    Headers headers = context.getRequest().getHeaders();
    String match = headers.get("If-Match");
    if (match != null) {
      return Optional.of(Long.parseLong(match.replace("\"", "")));
    }
    return "*".equals(headers.get("If-None-Match"))
        ? Optional.of(ObjectStore.ABSENT)
        : Optional.empty();
  }

  private void changeInstance(Context context) throws Exception {
    context.byMethod(
        methods -> methods.put(() -> putInstance(context)).delete(() -> removeInstance(context)));
  }

  private void putInstance(Context context) {
    context
        .getRequest()
        .getBody()
        .then(
            body -> {
              platform.putInstance(Json.read(body.getText(), ListedInstance.class));
              context.getResponse().status(NO_CONTENT).send();
            });
  }

  private void removeInstance(Context context) {
    platform.removeInstance(context.getPathTokens().get("id"));
    context.getResponse().status(NO_CONTENT).send();
  }

  private void markLeaving(Context context) {
    platform.markLeaving(context.getPathTokens().get("id"));
    context.getResponse().status(NO_CONTENT).send();
  }

  private void reserveFetch(Context context) {
    String model = parameter(context, "model").orElse("");
    String version = parameter(context, "version").orElse("");
    sendWhenComplete(
        context,
        client(context).reserveFetch(model, version),
        reserved -> context.getResponse().status(NO_CONTENT).send());
  }

  private void outage(Context context) {
    platform.faults().outage(Boolean.parseBoolean(parameter(context, "down").orElse("true")));
    context.getResponse().status(NO_CONTENT).send();
  }

  private static Optional<String> parameter(Context context, String name) {
    return Optional.ofNullable(context.getRequest().getQueryParams().get(name));
  }
}
