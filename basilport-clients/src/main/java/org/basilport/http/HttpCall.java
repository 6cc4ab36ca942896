package org.basilport.http;

import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An HTTP request.
 *
 * @param method HTTP method
 * @param uri address and path
 * @param headers header fields
 * @param body body, empty for none
 * @param reuseConnection whether a pooled connection may carry the request
 * @param extraWait time that the answer may take beyond the usual limit
 */
public record HttpCall(
    String method,
    URI uri,
    Map<String, String> headers,
    byte[] body,
    boolean reuseConnection,
    Duration extraWait) {
  private static final byte[] NO_BODY = {};

  /** A request without a body that may use a pooled connection. */
  public static HttpCall of(String method, String address, String pathAndQuery) {
    URI uri = URI.create("http://" + address + pathAndQuery);
    return new HttpCall(method, uri, Map.of(), NO_BODY, true, Duration.ZERO);
  }

  /** The same request with another header field. */
  public HttpCall withHeader(String name, String value) {
    Map<String, String> extended = new LinkedHashMap<>(headers);
    extended.put(name, value);
    return new HttpCall(method, uri, extended, body, reuseConnection, extraWait);
  }

  /** The same request with a body. */
  public HttpCall withBody(String contentType, byte[] content) {
    return new HttpCall(method, uri, headers, content, reuseConnection, extraWait)
        .withHeader("Content-Type", contentType);
  }

  /** The same request on a connection of its own. */
  public HttpCall onNewConnection() {
    return new HttpCall(method, uri, headers, body, false, extraWait);
  }

  /** The same request with a longer limit for its answer. */
  public HttpCall withExtraWait(Duration wait) {
    return new HttpCall(method, uri, headers, body, reuseConnection, wait);
  }
}
