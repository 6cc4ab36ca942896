package org.basilport.daemon;

import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.IDefaultValueProvider;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;

/** Reads options that are absent from the command line from their environment variables. */
public final class EnvironmentDefaultProvider implements IDefaultValueProvider {
  private static final String PREFIX = "BASILPORT_";

  private final Map<String, String> environment;

  /** Creates a provider that reads the environment of the process. */
  public EnvironmentDefaultProvider() {
    this(System.getenv());
  }

  /** Creates a provider that reads the given variables. */
  public EnvironmentDefaultProvider(Map<String, String> environment) {
    this.environment = environment;
  }

  /**
   * Returns the variable of an option: {@code BASILPORT_PEER_ADDRESS} for {@code --peer-address}.
   */
  public static String variableName(String flag) {
    return PREFIX + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
  }

  @Override
  public String defaultValue(ArgSpec argument) {
    if (!argument.isOption()) {
      return null;
    }
    String flag = ((OptionSpec) argument).longestName();
    return flag.startsWith("--") ? environment.get(variableName(flag)) : null;
  }
}
