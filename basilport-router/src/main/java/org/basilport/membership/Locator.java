package org.basilport.membership;

/** Tells callers which instances to use. */
@FunctionalInterface
public interface Locator {

  /**
   * Returns the instances for a workspace and route, best first.
   *
   * @param dataCentre data centre of the caller, empty when unknown
   */
  Location locate(String workspace, String route, String dataCentre);
}
