package org.basilport.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.Map;
import org.basilport.error.RejectedException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class DaemonSettingsTest {
  private static final String SECRET = "0123456789abcdef-secret";

  private static DaemonSettings parse(Map<String, String> environment, String... flags) {
    DaemonOptions options = new DaemonOptions();
    new CommandLine(CommandLine.Model.CommandSpec.forAnnotatedObject(options))
        .setDefaultValueProvider(new EnvironmentDefaultProvider(environment))
        .parseArgs(flags);
    return DaemonSettings.from(options);
  }

  private static Map<String, String> completeEnvironment() {
    Map<String, String> environment = new HashMap<>();
    environment.put("BASILPORT_INSTANCE_ID", "entry-1");
    environment.put("BASILPORT_REGION", "co-centro");
    environment.put("BASILPORT_DATA_CENTRE", "bogota-a");
    environment.put("BASILPORT_ADDRESS", "127.0.0.1:8080");
    environment.put("BASILPORT_PEER_ADDRESS", "127.0.0.1:8081");
    environment.put("BASILPORT_PLATFORM_ADDRESS", "127.0.0.1:8000");
    environment.put("BASILPORT_CLUSTER_KEY", SECRET);
    environment.put("BASILPORT_OPERATOR_KEY", SECRET);
    return environment;
  }

  @Nested
  class Sources {
    /** Guards against a variable that overrides an option, and against lost defaults. */
    @Test
    void optionOverridesVariableAndVariableOverridesDefault() {
      Map<String, String> environment = completeEnvironment();
      environment.put("BASILPORT_DRAIN_LIMIT_MILLIS", "7000");
      DaemonSettings settings = parse(environment, "--peer-address", "10.0.0.1:9000");
      assertThat(settings.instance().peerAddress()).isEqualTo("10.0.0.1:9000");
      assertThat(settings.instance().drainLimitMillis()).isEqualTo(7_000);
      assertThat(settings.instance().resumeWindowMillis()).isEqualTo(30_000);
    }

    /** Guards against secrets in log lines that contain the settings. */
    @Test
    void textContainsNoSecret() {
      assertThat(parse(completeEnvironment()).toString()).doesNotContain(SECRET);
    }
  }

  @Nested
  class InvalidSettings {
    /** Guards against an invalid setting that is accepted or rejected without a usable message. */
    @ParameterizedTest
    @CsvSource({
      "--drain-limit-millis, 600001, milliseconds from 0 to 600000",
      "--drain-limit-millis, soon, milliseconds from 0 to 600000",
      "--resume-window-millis, 999, milliseconds from 1000 to 600000",
      "--fleet-writes-per-second, 0, writes a second from 1 to 100000",
      "--fleet-reads-per-second, -1, reads a second from 1 to 100000",
      "--max-body-bytes, 10, bytes from 1000 to 64000000",
      "--timeline-capacity, 1, events from 100 to 1000000",
      "--incarnation, 0, restarts from 1 to",
      "--instance-id, Entry One, lower-case letters",
      "--region, '', lower-case letters",
      "--data-centre, a/b, lower-case letters",
      "--address, localhost:80, an IP address and a port",
      "--peer-address, 127.0.0.1, an IP address and a port",
      "--platform-address, 127.0.0.1:0, an IP address and a port",
      "--cluster-key, short, 16 to 256 characters",
      "--operator-key, short, 16 to 256 characters",
      "--log-format, xml, 'one of pattern, json'",
      "--log-level, loud, 'one of error, warn'"
    })
    void messageNamesSettingAndRange(String flag, String value, String range) {
      RejectedException rejection =
          assertThrows(RejectedException.class, () -> parse(completeEnvironment(), flag, value));
      assertThat(rejection).hasMessageThat().contains(flag);
      assertThat(rejection)
          .hasMessageThat()
          .contains(EnvironmentDefaultProvider.variableName(flag));
      assertThat(rejection).hasMessageThat().contains(range);
    }
  }
}
