package org.basilport.policy.placement;

/**
 * A model or adapter with its version, written as {@code name@version}.
 *
 * @param name name of the model or adapter
 * @param version version, empty when the engine's default is meant
 */
public record ModelName(String name, String version) {
  private static final char SEPARATOR = '@';

  /** Reads {@code name} or {@code name@version}. */
  public static ModelName parse(String text) {
    int at = text.indexOf(SEPARATOR);
    return at < 0
        ? new ModelName(text, "")
        : new ModelName(text.substring(0, at), text.substring(at + 1));
  }
}
