package org.basilport.platform.http;

import com.fasterxml.jackson.core.type.TypeReference;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpResponse;
import org.basilport.http.HttpTransport;
import org.basilport.http.Json;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/** HTTP client of the object store; versions are sent as ETags. */
public final class HttpObjectStore implements ObjectStore {
  /** Header field with the id of the client, to which the platform attributes calls. */
  public static final String CLIENT_ID = "Client-Id";

  private static final int OK = 200;
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;
  private static final Pattern VERSION = Pattern.compile("\"(\\d{1,18})\"");
  private static final TypeReference<List<String>> NAMES = new TypeReference<>() {};

  private final PlatformHttpClient http;

  /** Creates a client of the platform at an IP address and port. */
  public HttpObjectStore(HttpTransport transport, String address, String clientId) {
    this.http = new PlatformHttpClient(transport, address, clientId);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    return http.send(
        http.call("GET", objectPath(name)),
        response -> toStoredObject(name, response, Set.of(NOT_FOUND)));
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    HttpCall call = http.call("PUT", objectPath(name)).withBody("application/octet-stream", value);
    return http.send(withPrecondition(call, expectedVersion), HttpObjectStore::writtenVersion);
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    HttpCall call = http.call("DELETE", objectPath(name));
    return http.send(
        withPrecondition(call, expectedVersion),
        response ->
            response.status() == NOT_FOUND ? null : PlatformHttpClient.readSuccess(response));
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    HttpCall call = http.call("GET", "/objects?prefix=" + PlatformHttpClient.encode(prefix));
    return http.send(call, HttpObjectStore::names);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, Duration wait) {
    String query = "?watch=" + afterVersion + "&waitMillis=" + wait.toMillis();
    HttpCall call = http.call("GET", objectPath(name) + query).withExtraWait(wait);
    return http.send(
        call, response -> toStoredObject(name, response, Set.of(NOT_MODIFIED, NOT_FOUND)));
  }

  private static HttpCall withPrecondition(HttpCall call, long expectedVersion) {
    return expectedVersion == ABSENT
        ? call.withHeader("If-None-Match", "*")
        : call.withHeader("If-Match", "\"" + expectedVersion + "\"");
  }

  /**
   * Reads an object.
   *
   * @param absent statuses of a response without an object
   */
  private static Optional<StoredObject> toStoredObject(
      String name, HttpResponse response, Set<Integer> absent) {
    if (absent.contains(response.status())) {
      return Optional.empty();
    }
    if (response.status() != OK) {
      throw PlatformHttpClient.notOfTheCall(response);
    }
    return Optional.of(new StoredObject(name, version(response), response.body()));
  }

  private static long writtenVersion(HttpResponse response) {
    PlatformHttpClient.readSuccess(response);
    return version(response);
  }

  private static List<String> names(HttpResponse response) {
    List<String> names = response.status() == OK ? Json.read(response.text(), NAMES) : null;
    if (names == null) {
      throw PlatformHttpClient.notOfTheCall(response);
    }
    return names;
  }

  private static long version(HttpResponse response) {
    Matcher version = VERSION.matcher(response.header("ETag").orElse(""));
    if (!version.matches()) {
      throw PlatformHttpClient.notOfTheCall(response);
    }
    return Long.parseLong(version.group(1));
  }

  private static String objectPath(String name) {
    return "/objects/" + PlatformHttpClient.encode(name);
  }
}
