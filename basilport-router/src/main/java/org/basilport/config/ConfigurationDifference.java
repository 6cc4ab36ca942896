package org.basilport.config;

/**
 * Difference between two configurations.
 *
 * @param kind kind of the difference
 * @param field path of the field, such as {@code workspaces[acme].weight}
 * @param before earlier value as JSON, empty if the field was added
 * @param after later value as JSON, empty if the field was removed
 */
public record ConfigurationDifference(Kind kind, String field, String before, String after) {
  /** Kind of a difference. */
  public enum Kind {
    ADDED,
    REMOVED,
    CHANGED
  }
}
