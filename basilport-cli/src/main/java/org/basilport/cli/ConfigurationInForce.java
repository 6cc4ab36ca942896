package org.basilport.cli;

import java.util.Optional;
import org.basilport.cli.client.OperatorClient;
import org.basilport.cli.client.RemoteFailureException;
import org.basilport.config.Deployment;
import org.basilport.daemon.http.Json;
import org.basilport.error.FailureCode;

/**
 * The configuration in force as an instance tells it.
 *
 * @param number number of the acceptance
 * @param applyId id of the operator's change
 * @param author who applied it
 * @param acceptedAt when it was accepted, in ISO 8601
 * @param deployment the configuration itself
 */
record ConfigurationInForce(
    long number, String applyId, String author, String acceptedAt, Deployment deployment) {
  static final String PATH = "/v1/operator/config";

  static Optional<ConfigurationInForce> read(OperatorClient client) {
    try {
      return Optional.of(Json.readResponse(client.get(PATH), ConfigurationInForce.class));
    } catch (RemoteFailureException e) {
      if (e.code() == FailureCode.NOT_FOUND) {
        return Optional.empty();
      }
      throw e;
    }
  }
}
