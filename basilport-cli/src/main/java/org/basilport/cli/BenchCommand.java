package org.basilport.cli;

import org.basilport.bench.load.LoadCommand;
import org.basilport.bench.load.ProcessFaultCommand;
import org.basilport.bench.policy.PolicyBenchmarkCommand;
import picocli.CommandLine.Command;

/** Groups the benchmarks. */
@Command(
    name = "bench",
    description = "Run benchmarks.",
    mixinStandardHelpOptions = true,
    subcommands = {PolicyBenchmarkCommand.class, LoadCommand.class, ProcessFaultCommand.class})
final class BenchCommand {}
