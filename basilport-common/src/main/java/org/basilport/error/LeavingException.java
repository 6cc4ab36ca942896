package org.basilport.error;

import java.time.Duration;
import java.util.List;

/**
 * Rejection of a request by an instance that is leaving; the caller may retry at another instance
 * at once.
 */
public class LeavingException extends BasilportException {
  private final transient List<String> addresses;

  /** Creates a rejection that names other instances. */
  public LeavingException(Step step, List<String> addresses) {
    super(
        FailureCode.LEAVING,
        Outcome.NOT_RUN,
        step,
        "",
        Duration.ZERO,
        "this instance is leaving",
        null);
    this.addresses = List.copyOf(addresses);
  }

  /** Addresses of other instances, in order of preference. */
  public List<String> addresses() {
    return addresses;
  }
}
