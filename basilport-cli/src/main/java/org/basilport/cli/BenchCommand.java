package org.basilport.cli;

import org.basilport.bench.capacity.CapacityCommand;
import org.basilport.bench.policy.PolicyBenchmarkCommand;
import picocli.CommandLine.Command;

/** Groups the benchmarks. */
@Command(
    name = "bench",
    description = "Run benchmarks.",
    mixinStandardHelpOptions = true,
    subcommands = {PolicyBenchmarkCommand.class, CapacityCommand.class})
final class BenchCommand {}
