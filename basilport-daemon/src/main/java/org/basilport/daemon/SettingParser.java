package org.basilport.daemon;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.List;
import java.util.Locale;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;

/**
 * Parses and validates single settings; each error message names the setting, its unit and its
 * allowed range.
 */
final class SettingParser {
  private static final int MAX_NAME_LENGTH = 64;
  private static final int MIN_SECRET_LENGTH = 16;
  private static final int MAX_SECRET_LENGTH = 256;
  private static final int MAX_PORT = 65_535;

  private SettingParser() {}

  static long number(String flag, String value, String unit, long minimum, long maximum) {
    String allowedValues = String.format(Locale.ROOT, "%s from %d to %d", unit, minimum, maximum);
    long number;
    try {
      number = Long.parseLong(required(flag, value, allowedValues).trim());
    } catch (NumberFormatException e) {
      throw invalidSetting(flag, "'" + value + "' is not a whole number", allowedValues);
    }
    if (number < minimum || number > maximum) {
      throw invalidSetting(flag, number + " is out of range", allowedValues);
    }
    return number;
  }

  static String name(String flag, String value) {
    String allowedValues =
        "1 to " + MAX_NAME_LENGTH + " lower-case letters, digits, dots and hyphens";
    if (!required(flag, value, allowedValues)
        .matches("[a-z0-9][a-z0-9.-]{0," + (MAX_NAME_LENGTH - 1) + "}")) {
      throw invalidSetting(flag, "'" + value + "' is not a valid name", allowedValues);
    }
    return value;
  }

  static String address(String flag, String value) {
    String allowedValues =
        "an IP address and a port from 1 to " + MAX_PORT + ", as in 10.0.0.1:8080";
    try {
      HostAndPort parsed = HostAndPort.fromString(required(flag, value, allowedValues));
      if (parsed.hasPort()
          && parsed.getPort() > 0
          && InetAddresses.isInetAddress(parsed.getHost())) {
        return value;
      }
    } catch (IllegalArgumentException e) {
      throw invalidSetting(flag, "'" + value + "' is not an address", allowedValues);
    }
    throw invalidSetting(flag, "'" + value + "' is not an address", allowedValues);
  }

  /** Validates a secret; error messages never contain its value. */
  static String secret(String flag, String value) {
    String allowedValues = MIN_SECRET_LENGTH + " to " + MAX_SECRET_LENGTH + " characters";
    int length = required(flag, value, allowedValues).length();
    if (length < MIN_SECRET_LENGTH || length > MAX_SECRET_LENGTH) {
      throw invalidSetting(
          flag, "a secret of " + length + " characters is out of range", allowedValues);
    }
    return value;
  }

  static String choice(String flag, String value, List<String> choices) {
    String allowedValues = "one of " + String.join(", ", choices);
    String normalized = required(flag, value, allowedValues).toLowerCase(Locale.ROOT);
    if (!choices.contains(normalized)) {
      throw invalidSetting(flag, "'" + value + "' is not known", allowedValues);
    }
    return normalized;
  }

  private static String required(String flag, String value, String allowedValues) {
    if (value == null || value.isBlank()) {
      throw invalidSetting(flag, "no value is given", allowedValues);
    }
    return value;
  }

  private static RejectedException invalidSetting(
      String flag, String problem, String allowedValues) {
    String setting = flag + " (" + EnvironmentDefaultProvider.variableName(flag) + ")";
    return new RejectedException(
        FailureCode.MALFORMED,
        Step.CONFIGURE,
        "setting " + setting + ": " + problem + "; allowed: " + allowedValues);
  }
}
