package org.basilport.platform;

/** State of an instance in the instance list. */
public enum InstanceState {
  LIVE,
  LEAVING
}
