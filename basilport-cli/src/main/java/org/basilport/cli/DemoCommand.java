package org.basilport.cli;

import java.util.List;
import org.basilport.cli.demo.Demo;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs a demo of several instances in one process. */
@Command(
    name = "demo",
    description = {
      "Run three instances against stand-ins on loopback ports and check the guarantees.",
      "Exit code 0 when all guarantees held, 1 when one was broken."
    })
final class DemoCommand extends BaseCommand {
  @Mixin private SiteOptions site;

  @Option(
      names = "--data-centres",
      split = ",",
      defaultValue = "dc-a,dc-b,dc-c",
      description = "data centres of the site; default: ${DEFAULT-VALUE}")
  private List<String> dataCentres;

  @Option(names = "--seed", defaultValue = "1", description = "seed of the stand-ins")
  private long seed;

  @Override
  ExitCode execute() throws Exception {
    try (Demo demo = new Demo(site.load(), dataCentres, seed, out())) {
      return demo.run() ? ExitCode.DONE : ExitCode.CHECK_FAILED;
    }
  }
}
