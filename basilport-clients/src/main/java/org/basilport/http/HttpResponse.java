package org.basilport.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import ratpack.http.Headers;

/**
 * A whole HTTP answer.
 *
 * @param status HTTP status
 * @param headers header fields
 * @param body body, empty for none
 */
public record HttpResponse(int status, Headers headers, byte[] body) {

  /** Whether the status is below 300. */
  public boolean isSuccessful() {
    return status < 300;
  }

  /** Value of a header field. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** The body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
