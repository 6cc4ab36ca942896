package org.basilport.cli.client;

import java.util.List;

/**
 * Who calls, and where it asks first.
 *
 * @param entries addresses of instances that answer the first question
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
