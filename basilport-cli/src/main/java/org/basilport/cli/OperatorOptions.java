package org.basilport.cli;

import java.util.List;
import org.basilport.cli.client.InstanceClient;
import org.basilport.cli.client.OperatorClient;
import picocli.CommandLine.Option;

/** Options for the instances to contact and the operator key. */
final class OperatorOptions {
  @Option(
      names = "--entry",
      required = true,
      split = ",",
      description = "IP addresses and ports of entry instances")
  private List<String> entries;

  @Option(
      names = "--operator-key",
      required = true,
      description = "operator key; prefer the variable BASILPORT_OPERATOR_KEY")
  private String operatorKey;

  OperatorClient client() {
    return new OperatorClient(entries, operatorKey, new InstanceClient());
  }
}
