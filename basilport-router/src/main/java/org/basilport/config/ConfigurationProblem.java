package org.basilport.config;

/**
 * Validation error in a configuration.
 *
 * @param file file that contains the field, empty if the configuration did not come from a file
 * @param line line of the field, starting at 1, or 0 if unknown
 * @param field path of the field, such as {@code workspaces[acme].weight}
 * @param message description of the error
 */
public record ConfigurationProblem(String file, int line, String field, String message) {

  /** Creates a problem at a field of a configuration that did not come from a file. */
  public static ConfigurationProblem at(String field, String message) {
    return new ConfigurationProblem("", 0, field, message);
  }

  @Override
  public String toString() {
    String location = file.isEmpty() ? "" : file + ":" + line + ": ";
    return location + field + ": " + message;
  }
}
