package org.basilport.membership;

/** Selects the instances that a caller should use. */
@FunctionalInterface
public interface Locator {

  /**
   * Returns the instances for a workspace and route, best first.
   *
   * @param dataCentre data centre of the caller, empty if unknown
   */
  Location locate(String workspace, String route, String dataCentre);
}
