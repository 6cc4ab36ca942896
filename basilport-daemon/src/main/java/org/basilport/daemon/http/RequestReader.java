package org.basilport.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.router.Credentials;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** Reads headers, query parameters and bodies of requests; a missing value fails with its name. */
final class RequestReader {
  static final String WORKSPACE = "Basilport-Workspace";
  static final String OPERATOR_KEY = "Basilport-Operator-Key";
  static final String REQUEST_KEY = "Request-Key";
  static final String REPEATABLE = "Repeatable";
  static final String LAST_EVENT_ID = "Last-Event-ID";
  private static final String BEARER = "Bearer ";

  private final int maxBodyBytes;

  RequestReader(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  Credentials credentials(Context context) {
    String workspace =
        header(context, WORKSPACE)
            .orElseThrow(() -> unauthenticated("missing header " + WORKSPACE));
    String authorization =
        header(context, "Authorization")
            .orElseThrow(() -> unauthenticated("missing header Authorization"));
    if (!authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
      throw unauthenticated("header Authorization is not of the form 'Bearer <workspace key>'");
    }
    return new Credentials(workspace, authorization.substring(BEARER.length()).trim());
  }

  Optional<String> header(Context context, String name) {
    return Optional.ofNullable(context.getRequest().getHeaders().get(name))
        .filter(value -> !value.isBlank());
  }

  String requiredHeader(Context context, String name) {
    return header(context, name).orElseThrow(() -> malformed("missing header " + name));
  }

  String parameter(Context context, String name) {
    return context.getRequest().getQueryParams().getOrDefault(name, "");
  }

  String requiredParameter(Context context, String name) {
    String value = parameter(context, name);
    if (value.isBlank()) {
      throw malformed("missing query parameter " + name);
    }
    return value;
  }

  long numberParameter(Context context, String name, long defaultValue) {
    String value = parameter(context, name);
    if (value.isBlank()) {
      return defaultValue;
    }
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw malformed("query parameter " + name + " is not a whole number: '" + value + "'");
    }
  }

  Promise<String> text(Context context) {
    return context
        .getRequest()
        .getBody(maxBodyBytes)
        .map(body -> body.getText(StandardCharsets.UTF_8));
  }

  <T> Promise<T> json(Context context, Class<T> type) {
    return text(context).map(body -> Json.read(body, type));
  }

  static RejectedException malformed(String message) {
    return new RejectedException(FailureCode.MALFORMED, Step.PARSE, message);
  }

  private static RejectedException unauthenticated(String message) {
    return new RejectedException(FailureCode.UNAUTHENTICATED, Step.AUTHENTICATE, message);
  }
}
