package org.basilport.config;

/**
 * A difference between two configurations.
 *
 * @param kind what happened to the field
 * @param field path of the field, such as {@code workspaces[acme].weight}
 * @param before JSON form of the earlier value, empty when it was added
 * @param after JSON form of the later value, empty when it was removed
 */
public record ConfigurationDifference(Kind kind, String field, String before, String after) {
  /** What happened to a field. */
  public enum Kind {
    ADDED,
    REMOVED,
    CHANGED
  }
}
