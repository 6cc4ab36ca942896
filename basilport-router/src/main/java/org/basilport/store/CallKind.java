package org.basilport.store;

/** Kinds of platform calls; reads and writes have separate rate limits. */
public enum CallKind {
  READ(true),
  LIST(true),
  WATCH(true),
  LIST_INSTANCES(true),
  WRITE(false),
  DELETE(false);

  private final boolean read;

  CallKind(boolean read) {
    this.read = read;
  }

  /** Returns whether the call counts against the read rate limit. */
  public boolean isRead() {
    return read;
  }
}
