package org.basilport.cli;

import org.basilport.cli.client.LocationResponse;
import org.basilport.daemon.http.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints the addresses of the instances to use for a route. */
@Command(name = "locate", description = "Print the addresses to use for a route, best first.")
final class LocateCommand extends BaseCommand {
  @Mixin private CallerOptions caller;

  @Parameters(index = "0", description = "name of the route")
  private String route;

  @Option(names = "--json", description = "print the response as JSON")
  private boolean json;

  @Override
  ExitCode execute() {
    LocationResponse location = caller.client().locate(route);
    if (json) {
      out().println(Json.write(location));
    } else {
      location.addresses().forEach(out()::println);
    }
    return ExitCode.DONE;
  }
}
