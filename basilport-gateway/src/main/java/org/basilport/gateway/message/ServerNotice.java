package org.basilport.gateway.message;

/**
 * What a backend server says of itself in any answer, beside the answer to the request.
 *
 * @param leaving whether this start of the server is leaving
 */
public record ServerNotice(boolean leaving) {
  /** Notice of a server that says nothing of itself. */
  public static final ServerNotice NONE = new ServerNotice(false);
}
