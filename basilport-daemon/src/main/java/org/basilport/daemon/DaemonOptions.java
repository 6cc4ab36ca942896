package org.basilport.daemon;

import picocli.CommandLine.Option;

/** Command-line options of the daemon as given; {@link DaemonSettings#from} validates them. */
public final class DaemonOptions {
  @Option(
      names = "--instance-id",
      description = "name of the instance, as in the instance directory")
  String instanceId;

  @Option(
      names = "--incarnation",
      description = "number that increases with each restart; default: start time in milliseconds")
  String incarnation;

  @Option(names = "--region", description = "region of the instance")
  String region;

  @Option(names = "--data-centre", description = "data centre of the instance")
  String dataCentre;

  @Option(names = "--address", description = "IP address and port for callers")
  String address;

  @Option(names = "--peer-address", description = "IP address and port for other instances")
  String peerAddress;

  @Option(names = "--platform-address", description = "IP address and port of the platform")
  String platformAddress;

  @Option(
      names = "--cluster-key",
      description = "secret shared by all instances, 16 to 256 characters; prefer the variable")
  String clusterKey;

  @Option(
      names = "--operator-key",
      description = "secret of operators, 16 to 256 characters; prefer the variable")
  String operatorKey;

  @Option(
      names = "--drain-limit-millis",
      defaultValue = "25000",
      description = "maximum time to drain open streams before they are handed over")
  String drainLimitMillis;

  @Option(
      names = "--resume-window-millis",
      defaultValue = "30000",
      description = "how long a generation without a reader is kept")
  String resumeWindowMillis;

  @Option(
      names = "--fleet-writes-per-second",
      defaultValue = "300",
      description = "maximum writes to the object store by all instances together")
  String fleetWritesPerSecond;

  @Option(
      names = "--fleet-reads-per-second",
      defaultValue = "1500",
      description = "maximum reads of the object store by all instances together")
  String fleetReadsPerSecond;

  @Option(
      names = "--max-body-bytes",
      defaultValue = "1000000",
      description = "maximum size of a request body, in bytes")
  String maxBodyBytes;

  @Option(
      names = "--timeline-capacity",
      defaultValue = "10000",
      description = "number of events kept in memory")
  String timelineCapacity;

  @Option(
      names = "--log-format",
      defaultValue = "pattern",
      description = "format of log lines: pattern or json")
  String logFormat;

  @Option(
      names = "--log-level",
      defaultValue = "info",
      description = "minimum level that is logged: error, warn, info, debug or trace")
  String logLevel;
}
