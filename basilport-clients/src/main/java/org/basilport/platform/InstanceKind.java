package org.basilport.platform;

/** What an instance runs. */
public enum InstanceKind {
  /** A basilport daemon. */
  ENTRY,
  /** A model engine or a plain service. */
  BACKEND
}
