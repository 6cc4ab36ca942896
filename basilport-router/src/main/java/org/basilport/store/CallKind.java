package org.basilport.store;

/** Kinds of platform calls; reads and writes have separate rates. */
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

  /** Whether the call counts against the rate of reads. */
  public boolean isRead() {
    return read;
  }
}
