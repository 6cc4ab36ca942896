package org.basilport.config;

/**
 * Route by which callers reach a service.
 *
 * @param name name of the route
 * @param service model service or application service behind it
 * @param delivery how results are delivered
 */
public record Route(String name, String service, Delivery delivery) {

  /** Delivery of the results of a route. */
  public enum Delivery {
    /** Tokens are streamed to the caller as they are generated. */
    STREAMED,
    /** The result is collected later. */
    DEFERRED,
    /** The caller receives the response of an application service. */
    CALL
  }
}
