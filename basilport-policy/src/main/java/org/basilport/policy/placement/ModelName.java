package org.basilport.policy.placement;

/**
 * Name of a model or adapter with its version, written as {@code name@version}.
 *
 * @param name name of the model or adapter
 * @param version version; empty for the engine's default version
 */
public record ModelName(String name, String version) {
  private static final char SEPARATOR = '@';

  /** Parses {@code name} or {@code name@version}. */
  public static ModelName parse(String text) {
    int at = text.indexOf(SEPARATOR);
    return at < 0
        ? new ModelName(text, "")
        : new ModelName(text.substring(0, at), text.substring(at + 1));
  }
}
