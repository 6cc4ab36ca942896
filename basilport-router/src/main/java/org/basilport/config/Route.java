package org.basilport.config;

/**
 * A name under which callers reach a service.
 *
 * @param name name of the route
 * @param service model service or application service behind it
 * @param delivery how answers are read
 */
public record Route(String name, String service, Delivery delivery) {

  /** How the answers of a route are read. */
  public enum Delivery {
    /** A caller reads the tokens while they are generated. */
    STREAMED,
    /** The result is collected later. */
    DEFERRED,
    /** A call of a plain service. */
    CALL
  }
}
