package org.basilport.config;

/** What a backend server does with the fencing token of an order. */
public enum FencingMode {
  /** It refuses an order whose token is older than one that it has seen. */
  ENFORCED,
  /** It does not look at the token. */
  IGNORED
}
