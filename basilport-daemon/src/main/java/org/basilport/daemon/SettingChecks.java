package org.basilport.daemon;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.List;
import java.util.Locale;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;

/** Checks of single settings; each failure names the setting, its unit and its allowed range. */
final class SettingChecks {
  private static final int LONGEST_NAME = 64;
  private static final int SHORTEST_SECRET = 16;
  private static final int LONGEST_SECRET = 256;
  private static final int LARGEST_PORT = 65_535;

  private SettingChecks() {}

  static long number(String flag, String value, String unit, long least, long most) {
    String range = String.format(Locale.ROOT, "%s from %d to %d", unit, least, most);
    long number;
    try {
      number = Long.parseLong(required(flag, value, range).trim());
    } catch (NumberFormatException e) {
      throw refuse(flag, "'" + value + "' is not a whole number", range);
    }
    if (number < least || number > most) {
      throw refuse(flag, number + " is out of range", range);
    }
    return number;
  }

  static String name(String flag, String value) {
    String range = "1 to " + LONGEST_NAME + " lower-case letters, digits, dots and hyphens";
    if (!required(flag, value, range).matches("[a-z0-9][a-z0-9.-]{0," + (LONGEST_NAME - 1) + "}")) {
      throw refuse(flag, "'" + value + "' is not a valid name", range);
    }
    return value;
  }

  static String address(String flag, String value) {
    String range = "an IP address and a port from 1 to " + LARGEST_PORT + ", as in 10.0.0.1:8080";
    try {
      HostAndPort parsed = HostAndPort.fromString(required(flag, value, range));
      if (parsed.hasPort()
          && parsed.getPort() > 0
          && InetAddresses.isInetAddress(parsed.getHost())) {
        return value;
      }
    } catch (IllegalArgumentException e) {
      throw refuse(flag, "'" + value + "' is not an address", range);
    }
    throw refuse(flag, "'" + value + "' is not an address", range);
  }

  /** Checks a secret; no message contains the value. */
  static String secret(String flag, String value) {
    String range = SHORTEST_SECRET + " to " + LONGEST_SECRET + " characters";
    int length = required(flag, value, range).length();
    if (length < SHORTEST_SECRET || length > LONGEST_SECRET) {
      throw refuse(flag, "a secret of " + length + " characters is out of range", range);
    }
    return value;
  }

  static String choice(String flag, String value, List<String> choices) {
    String range = "one of " + String.join(", ", choices);
    String lower = required(flag, value, range).toLowerCase(Locale.ROOT);
    if (!choices.contains(lower)) {
      throw refuse(flag, "'" + value + "' is not known", range);
    }
    return lower;
  }

  private static String required(String flag, String value, String range) {
    if (value == null || value.isBlank()) {
      throw refuse(flag, "no value is given", range);
    }
    return value;
  }

  private static RejectedException refuse(String flag, String problem, String range) {
    String setting = flag + " (" + EnvironmentDefaults.variable(flag) + ")";
    return new RejectedException(
        FailureCode.MALFORMED,
        Step.CONFIGURE,
        "setting " + setting + ": " + problem + "; allowed: " + range);
  }
}
