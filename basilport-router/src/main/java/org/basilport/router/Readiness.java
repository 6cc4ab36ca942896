package org.basilport.router;

/** Whether an instance can serve. */
public enum Readiness {
  /** It has no configuration yet. */
  STARTING,
  /** It serves with a configuration that was confirmed lately. */
  SERVING,
  /** It serves, but neither a peer nor the platform has confirmed its configuration lately. */
  STALE_CONFIGURATION,
  /** It finishes what runs and takes nothing new. */
  DRAINING,
  /** It has stopped. */
  STOPPED
}
