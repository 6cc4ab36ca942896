package org.basilport.cli;

import java.util.List;
import org.basilport.cli.client.Caller;
import org.basilport.cli.client.CallerClient;
import org.basilport.cli.client.InstanceClient;
import picocli.CommandLine.Option;

/** Options for the identity of the caller and the instances to contact. */
final class CallerOptions {
  @Option(
      names = "--entry",
      required = true,
      split = ",",
      description = "IP addresses and ports of entry instances")
  private List<String> entries;

  @Option(names = "--workspace", required = true, description = "name of the workspace")
  private String workspace;

  @Option(
      names = "--key",
      required = true,
      description = "key of the workspace; prefer the variable BASILPORT_KEY")
  private String key;

  @Option(
      names = "--caller-data-centre",
      defaultValue = "",
      description = "data centre of the caller")
  private String dataCentre;

  CallerClient client() {
    return new CallerClient(new Caller(entries, workspace, key, dataCentre), new InstanceClient());
  }
}
