package org.basilport.cli.client;

import java.util.List;

/**
 * Identity of a caller and its initial instances.
 *
 * @param entries addresses of the entry instances to contact first
 * @param workspace name of the workspace
 * @param key secret key of the workspace
 * @param dataCentre data centre of the caller, empty when unknown
 */
public record Caller(List<String> entries, String workspace, String key, String dataCentre) {
  @Override
  public String toString() {
    return "Caller[workspace=" + workspace + " entries=" + entries + "]";
  }
}
