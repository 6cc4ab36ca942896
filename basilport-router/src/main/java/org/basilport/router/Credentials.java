package org.basilport.router;

/**
 * Credentials of a caller.
 *
 * @param workspace name of the workspace
 * @param key secret key of the workspace
 */
public record Credentials(String workspace, String key) {

  @Override
  public String toString() {
    return "Credentials[workspace=" + workspace + "]";
  }
}
