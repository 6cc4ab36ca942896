package org.basilport.cli;

import java.util.Optional;
import org.basilport.cli.client.OperatorClient;
import org.basilport.cli.client.RemoteFailureException;
import org.basilport.config.Deployment;
import org.basilport.error.FailureCode;

/**
 * The configuration in force, as reported by an instance.
 *
 * @param number number that the configuration got when it was accepted
 * @param applyId id of the operator's configuration change
 * @param author author of the change
 * @param acceptedAt time of acceptance, in ISO 8601
 * @param deployment the configuration
 */
record ConfigurationInForce(
    long number, String applyId, String author, String acceptedAt, Deployment deployment) {
  static final String PATH = "/v1/operator/config";

  static Optional<ConfigurationInForce> read(OperatorClient client) {
    try {
      return Optional.of(client.get(PATH).as(ConfigurationInForce.class));
    } catch (RemoteFailureException e) {
      if (e.code() == FailureCode.NOT_FOUND) {
        return Optional.empty();
      }
      throw e;
    }
  }
}
