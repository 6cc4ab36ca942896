package org.basilport.cli.client;

import java.time.Duration;
import java.util.List;
import org.basilport.daemon.http.FailureBody;
import org.basilport.error.BasilportException;

/** Thrown when an instance reports a failure. */
public class RemoteFailureException extends BasilportException {
  private final transient List<String> addresses;

  /** Creates the exception from the JSON body of the failure. */
  public RemoteFailureException(FailureBody body) {
    super(
        body.code(),
        body.outcome(),
        body.step(),
        body.peer() == null ? "" : body.peer(),
        body.retryAfterMillis() == null ? null : Duration.ofMillis(body.retryAfterMillis()),
        body.message(),
        null);
    this.addresses = body.addresses() == null ? List.of() : List.copyOf(body.addresses());
  }

  /** Addresses of other instances that the caller may use. */
  public List<String> addresses() {
    return addresses;
  }
}
