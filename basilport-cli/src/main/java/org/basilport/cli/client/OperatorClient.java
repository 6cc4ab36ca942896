package org.basilport.cli.client;

import java.util.List;
import java.util.Map;
import org.basilport.error.BasilportException;
import org.basilport.error.Step;

/** Client for operators; sends each request to the first reachable instance. */
public final class OperatorClient {
  private final List<String> entries;
  private final Map<String, String> headers;
  private final InstanceClient client;

  /** Creates a client that sends the operator key with each request. */
  public OperatorClient(List<String> entries, String operatorKey, InstanceClient client) {
    this.entries = List.copyOf(entries);
    this.headers = Map.of("Basilport-Operator-Key", operatorKey);
    this.client = client;
  }

  /** Sends a GET request to the first reachable instance. */
  public InstanceAnswer get(String path) {
    return send("GET", path, "");
  }

  /** Posts JSON to the first reachable instance. */
  public InstanceAnswer post(String path, String body) {
    return send("POST", path, body);
  }

  private InstanceAnswer send(String method, String path, String body) {
    BasilportException last = null;
    for (String address : entries) {
      try {
        return new InstanceAnswer(
            address, client.send(address, method, path, headers, body).body());
      } catch (BasilportException e) {
        if (e instanceof RemoteFailureException || e.step() != Step.CONNECT) {
          throw e;
        }
        last = e;
      }
    }
    if (last == null) {
      throw new IllegalArgumentException("no address of an entry instance is given");
    }
    throw last;
  }
}
