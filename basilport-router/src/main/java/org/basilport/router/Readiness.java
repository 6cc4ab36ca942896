package org.basilport.router;

/** Readiness of an instance to serve requests. */
public enum Readiness {
  /** The instance has no configuration yet, or rechecks it after a pause. */
  STARTING,
  /** The instance serves with a recently confirmed configuration. */
  SERVING,
  /** The instance serves, but no peer or platform has confirmed its configuration recently. */
  STALE_CONFIGURATION,
  /** The instance finishes running requests and accepts no new ones. */
  DRAINING,
  /** The instance has stopped. */
  STOPPED
}
