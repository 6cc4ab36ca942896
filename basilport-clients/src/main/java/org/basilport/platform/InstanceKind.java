package org.basilport.platform;

/** Kind of process that an instance runs. */
public enum InstanceKind {
  /** A basilport daemon. */
  ENTRY,
  /** A model engine or a replica of an application service. */
  BACKEND
}
