package org.basilport.platform.http;

import com.fasterxml.jackson.core.type.TypeReference;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.http.HttpAnswer;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpTransport;
import org.basilport.http.Json;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/** The object API over HTTP, with versions in ETags. */
public final class HttpObjectStore implements ObjectStore {
  /** Header field with the name of the client, by which the platform counts calls. */
  public static final String CLIENT_ID = "Client-Id";

  private static final int OK = 200;
  private static final TypeReference<List<String>> NAMES = new TypeReference<>() {};

  private final PlatformHttp http;

  /** Creates a client of the platform at an IP address and port. */
  public HttpObjectStore(HttpTransport connector, String address, String clientId) {
    this.http = new PlatformHttp(connector, address, clientId);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    return http.send(http.call("GET", path(name)), answer -> object(name, answer));
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    HttpCall call = http.call("PUT", path(name)).withBody("application/octet-stream", value);
    return http.send(conditional(call, expectedVersion), HttpObjectStore::version);
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    HttpCall call = http.call("DELETE", path(name));
    return http.send(conditional(call, expectedVersion), answer -> null);
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    HttpCall call = http.call("GET", "/objects?prefix=" + PlatformHttp.encode(prefix));
    return http.send(call, answer -> Json.read(answer.text(), NAMES));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, Duration wait) {
    String query = "?watch=" + afterVersion + "&waitMillis=" + wait.toMillis();
    HttpCall call = http.call("GET", path(name) + query).withExtraWait(wait);
    return http.send(call, answer -> object(name, answer));
  }

  private static HttpCall conditional(HttpCall call, long expectedVersion) {
    return expectedVersion == ABSENT
        ? call.withHeader("If-None-Match", "*")
        : call.withHeader("If-Match", "\"" + expectedVersion + "\"");
  }

  private static Optional<StoredObject> object(String name, HttpAnswer answer) {
    return answer.status() == OK
        ? Optional.of(new StoredObject(name, version(answer), answer.body()))
        : Optional.empty();
  }

  private static long version(HttpAnswer answer) {
    return Long.parseLong(answer.header("ETag").orElse("\"0\"").replace("\"", ""));
  }

  private static String path(String name) {
    return "/objects/" + PlatformHttp.encode(name);
  }
}
