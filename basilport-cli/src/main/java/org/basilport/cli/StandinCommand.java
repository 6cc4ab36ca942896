package org.basilport.cli;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.basilport.cli.demo.StandInSite;
import org.basilport.platform.ListedInstance;
import org.basilport.standin.engine.EngineSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs stand-ins for the platform and the backend servers of a site. */
@Command(
    name = "standin",
    description = {
      "Run stand-ins for the platform and the backend servers of a site on loopback ports.",
      "Prints the router command of each entry instance in the instance directory."
    })
final class StandinCommand extends BaseCommand {
  private static final int PORTS_PER_ENTRY = 2;

  @Mixin private SiteOptions site;

  @Option(
      names = "--first-port",
      defaultValue = "7000",
      description = "port of the platform; default: ${DEFAULT-VALUE}")
  private int firstPort;

  @Option(
      names = "--first-entry-port",
      defaultValue = "7900",
      description = "first port of the entry instances; default: ${DEFAULT-VALUE}")
  private int firstEntryPort;

  @Option(
      names = "--entries",
      defaultValue = "3",
      description =
          "number of entry instances in the instance directory; default: ${DEFAULT-VALUE}")
  private int entries;

  @Option(
      names = "--data-centres",
      split = ",",
      defaultValue = "dc-a,dc-b,dc-c",
      description = "data centres of the site; default: ${DEFAULT-VALUE}")
  private List<String> dataCentres;

  @Option(names = "--seed", defaultValue = "1", description = "seed of the stand-ins")
  private long seed;

  @Option(
      names = "--seconds",
      defaultValue = "3600",
      description = "time after which the command ends; default: ${DEFAULT-VALUE}")
  private long seconds;

  @Override
  ExitCode execute() throws Exception {
    StandInSite standIns =
        new StandInSite(site.load(), dataCentres, firstPort, EngineSettings.defaults(), seed);
    standIns.start().get();
    out().println("platform and backend servers are running; start the entry instances with");
    for (int i = 0; i < entries; i++) {
      int port = firstEntryPort + PORTS_PER_ENTRY * i;
      printRouterCommand(
          standIns.listEntry(i, "127.0.0.1:" + port, "127.0.0.1:" + (port + 1)),
          standIns.platformAddress());
    }
    out().flush();
    TimeUnit.SECONDS.sleep(seconds);
    standIns.stop().get();
    return ExitCode.DONE;
  }

  private void printRouterCommand(ListedInstance entry, String platformAddress) {
    out()
        .printf(
            "basilport router --instance-id %s --region %s --data-centre %s --address %s"
                + " --peer-address %s --platform-address %s%n",
            entry.id(),
            entry.region(),
            entry.dataCentre(),
            entry.address(),
            entry.peerAddress(),
            platformAddress);
  }
}
