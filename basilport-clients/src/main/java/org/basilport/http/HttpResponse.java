package org.basilport.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A complete HTTP response.
 *
 * @param status HTTP status
 * @param headers header fields
 * @param body body, empty if there is none
 */
public record HttpResponse(int status, HttpHeaders headers, byte[] body) {

  /** Returns whether the status is below 300. */
  public boolean isSuccessful() {
    return status < 300;
  }

  /** Returns the value of a header field. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
