package org.basilport.cli;

import org.basilport.bench.capacity.CapacityCommand;
import org.basilport.bench.contention.ContentionCommand;
import org.basilport.bench.evenness.EvennessCommand;
import org.basilport.bench.load.LoadCommand;
import org.basilport.bench.load.ProcessFaultCommand;
import org.basilport.bench.policy.PolicyBenchmarkCommand;
import org.basilport.bench.policy.PolicyCostCommand;
import picocli.CommandLine.Command;

/** Groups the benchmark commands, which the benchmark module implements. */
@Command(
    name = "bench",
    description = "Run benchmarks.",
    mixinStandardHelpOptions = true,
    subcommands = {
      PolicyBenchmarkCommand.class,
      PolicyCostCommand.class,
      LoadCommand.class,
      ProcessFaultCommand.class,
      CapacityCommand.class,
      EvennessCommand.class,
      ContentionCommand.class,
    })
final class BenchCommand {}
