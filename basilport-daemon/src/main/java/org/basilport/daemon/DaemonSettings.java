package org.basilport.daemon;

import java.util.List;
import org.basilport.router.InstanceSettings;

/**
 * The checked settings of a daemon.
 *
 * @param instance what the instance knows of itself
 * @param platformAddress IP address and port of the platform
 * @param operatorKey secret that operators present
 * @param maxBodyBytes largest body of a request, in bytes
 * @param timelineCapacity events that are kept in memory
 * @param logFormat "pattern" or "json"
 * @param logLevel lowest level that is logged
 */
public record DaemonSettings(
    InstanceSettings instance,
    String platformAddress,
    String operatorKey,
    int maxBodyBytes,
    int timelineCapacity,
    String logFormat,
    String logLevel) {
  /** Default of the largest body of a request, in bytes. */
  public static final int DEFAULT_MAX_BODY_BYTES = 1_000_000;

  private static final List<String> FORMATS = List.of("pattern", "json");
  private static final List<String> LEVELS = List.of("error", "warn", "info", "debug", "trace");
  private static final long LONGEST_TIME_MILLIS = 600_000;

  /**
   * Checks the flags. Fails with {@code RejectedException} at step CONFIGURE; the message names the
   * setting, its unit and its allowed range.
   */
  public static DaemonSettings from(DaemonOptions options) {
    return new DaemonSettings(
        instance(options),
        SettingChecks.address("--platform-address", options.platformAddress),
        SettingChecks.secret("--operator-key", options.operatorKey),
        (int)
            SettingChecks.number(
                "--max-body-bytes", options.maxBodyBytes, "bytes", 1_000, 64_000_000),
        (int)
            SettingChecks.number(
                "--timeline-capacity", options.timelineCapacity, "events", 100, 1_000_000),
        SettingChecks.choice("--log-format", options.logFormat, FORMATS),
        SettingChecks.choice("--log-level", options.logLevel, LEVELS));
  }

  private static InstanceSettings instance(DaemonOptions options) {
    return new InstanceSettings(
        SettingChecks.name("--instance-id", options.instanceId),
        incarnation(options.incarnation),
        SettingChecks.name("--region", options.region),
        SettingChecks.name("--data-centre", options.dataCentre),
        SettingChecks.address("--address", options.address),
        SettingChecks.address("--peer-address", options.peerAddress),
        SettingChecks.secret("--cluster-key", options.clusterKey),
        SettingChecks.number(
            "--drain-limit-millis",
            options.drainLimitMillis,
            "milliseconds",
            0,
            LONGEST_TIME_MILLIS),
        SettingChecks.number(
            "--resume-window-millis",
            options.resumeWindowMillis,
            "milliseconds",
            1_000,
            LONGEST_TIME_MILLIS),
        (int)
            SettingChecks.number(
                "--fleet-writes-per-second",
                options.fleetWritesPerSecond,
                "writes a second",
                1,
                100_000),
        (int)
            SettingChecks.number(
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
    return SettingChecks.number("--incarnation", value, "restarts", 1, Long.MAX_VALUE);
  }

  @Override
  public String toString() {
    return "DaemonSettings[" + instance + " platform " + platformAddress + "]";
  }
}
