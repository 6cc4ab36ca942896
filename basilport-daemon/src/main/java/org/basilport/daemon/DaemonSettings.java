package org.basilport.daemon;

import java.util.List;
import org.basilport.router.InstanceSettings;

/**
 * Validated settings of a daemon.
 *
 * @param instance identity, addresses and limits of the instance
 * @param platformAddress IP address and port of the platform
 * @param operatorKey secret that operator requests must carry
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param timelineCapacity number of events kept in memory
 * @param logFormat "pattern" or "json"
 * @param logLevel minimum level that is logged
 */
public record DaemonSettings(
    InstanceSettings instance,
    String platformAddress,
    String operatorKey,
    int maxBodyBytes,
    int timelineCapacity,
    String logFormat,
    String logLevel) {
  /** Default maximum size of a request body, in bytes. */
  public static final int DEFAULT_MAX_BODY_BYTES = 1_000_000;

  private static final List<String> LOG_FORMATS = List.of("pattern", "json");
  private static final List<String> LOG_LEVELS = List.of("error", "warn", "info", "debug", "trace");
  private static final long MAX_DURATION_MILLIS = 600_000;

  /**
   * Validates the options. Throws {@code RejectedException} at step CONFIGURE if one is missing or
   * invalid; the message names the setting, its unit and its allowed range.
   */
  public static DaemonSettings from(DaemonOptions options) {
    return new DaemonSettings(
        instance(options),
        SettingParser.address("--platform-address", options.platformAddress),
        SettingParser.secret("--operator-key", options.operatorKey),
        (int)
            SettingParser.number(
                "--max-body-bytes", options.maxBodyBytes, "bytes", 1_000, 64_000_000),
        (int)
            SettingParser.number(
                "--timeline-capacity", options.timelineCapacity, "events", 100, 1_000_000),
        SettingParser.choice("--log-format", options.logFormat, LOG_FORMATS),
        SettingParser.choice("--log-level", options.logLevel, LOG_LEVELS));
  }

  private static InstanceSettings instance(DaemonOptions options) {
    return new InstanceSettings(
        SettingParser.name("--instance-id", options.instanceId),
        incarnation(options.incarnation),
        SettingParser.name("--region", options.region),
        SettingParser.name("--data-centre", options.dataCentre),
        SettingParser.address("--address", options.address),
        SettingParser.address("--peer-address", options.peerAddress),
        SettingParser.secret("--cluster-key", options.clusterKey),
        SettingParser.number(
            "--drain-limit-millis",
            options.drainLimitMillis,
            "milliseconds",
            0,
            MAX_DURATION_MILLIS),
        SettingParser.number(
            "--resume-window-millis",
            options.resumeWindowMillis,
            "milliseconds",
            1_000,
            MAX_DURATION_MILLIS),
        (int)
            SettingParser.number(
                "--fleet-writes-per-second",
                options.fleetWritesPerSecond,
                "writes a second",
                1,
                100_000),
        (int)
            SettingParser.number(
                "--fleet-reads-per-second",
                options.fleetReadsPerSecond,
                "reads a second",
                1,
                100_000));
  }

  private static long incarnation(String value) {
    if (value == null) {
      return System.currentTimeMillis();
    }
    return SettingParser.number("--incarnation", value, "restarts", 1, Long.MAX_VALUE);
  }

  @Override
  public String toString() {
    return "DaemonSettings[" + instance + " platform " + platformAddress + "]";
  }
}
