package org.basilport.config;

/** Handling of fencing tokens by the backend servers of a service. */
public enum FencingMode {
  /** The server rejects an order whose token is older than one that it has seen. */
  ENFORCED,
  /** The server ignores the token. */
  IGNORED
}
