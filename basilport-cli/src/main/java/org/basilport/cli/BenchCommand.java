package org.basilport.cli;

import org.basilport.bench.policy.PolicyBenchmarkCommand;
import picocli.CommandLine.Command;

/** Groups the benchmarks. */
@Command(
    name = "bench",
    description = "Run benchmarks.",
    mixinStandardHelpOptions = true,
    subcommands = {PolicyBenchmarkCommand.class})
final class BenchCommand {}
