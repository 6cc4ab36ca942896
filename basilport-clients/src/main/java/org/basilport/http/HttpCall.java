package org.basilport.http;

import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An HTTP request.
 *
 * @param method HTTP method
 * @param uri address, path and query
 * @param headers header fields
 * @param body body, empty if there is none
 * @param reuseConnection whether the request may use a pooled connection
 * @param extraWait extension of the usual response timeout
 */
public record HttpCall(
    String method,
    URI uri,
    Map<String, String> headers,
    byte[] body,
    boolean reuseConnection,
    Duration extraWait) {
  private static final byte[] NO_BODY = {};

  /** Creates a request without a body that may use a pooled connection. */
  public static HttpCall of(String method, String address, String pathAndQuery) {
    URI uri = URI.create("http://" + address + pathAndQuery);
    return new HttpCall(method, uri, Map.of(), NO_BODY, true, Duration.ZERO);
  }

  /** Returns a copy with a header field added or replaced. */
  public HttpCall withHeader(String name, String value) {
    Map<String, String> extended = new LinkedHashMap<>(headers);
    extended.put(name, value);
    return new HttpCall(method, uri, extended, body, reuseConnection, extraWait);
  }

  /** Returns a copy with a body. */
  public HttpCall withBody(String contentType, byte[] content) {
    return new HttpCall(method, uri, headers, content, reuseConnection, extraWait)
        .withHeader("Content-Type", contentType);
  }

  /** Returns a copy that uses a new connection. */
  public HttpCall onNewConnection() {
    return new HttpCall(method, uri, headers, body, false, extraWait);
  }

  /** Returns a copy with an extended response timeout. */
  public HttpCall withExtraWait(Duration wait) {
    return new HttpCall(method, uri, headers, body, reuseConnection, wait);
  }
}
