package org.basilport.platform;

/** State of an instance in the instance directory. */
public enum InstanceState {
  LIVE,
  LEAVING
}
