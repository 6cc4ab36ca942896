package org.basilport.cli.client;

import java.time.Duration;
import java.util.List;
import org.basilport.daemon.http.FailureBody;
import org.basilport.error.BasilportException;

/** A failure that an instance reported. */
public class RemoteFailureException extends BasilportException {
  private final transient List<String> addresses;

  /** Creates the failure from its JSON form. */
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

  /** Addresses of other instances that may be used instead. */
  public List<String> addresses() {
    return addresses;
  }
}
