package org.basilport.config;

/**
 * A fault in a configuration.
 *
 * @param file file that holds the field, empty when the configuration did not come from a file
 * @param line line of the field, counted from 1, or 0 when unknown
 * @param field path of the field, such as {@code workspaces[acme].weight}
 * @param message what is wrong
 */
public record ConfigurationProblem(String file, int line, String field, String message) {

  /** A fault at a field of a configuration that did not come from a file. */
  public static ConfigurationProblem at(String field, String message) {
    return new ConfigurationProblem("", 0, field, message);
  }

  @Override
  public String toString() {
    String place = file.isEmpty() ? "" : file + ":" + line + ": ";
    return place + field + ": " + message;
  }
}
