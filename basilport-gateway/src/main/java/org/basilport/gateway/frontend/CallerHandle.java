package org.basilport.gateway.frontend;

/** What a connection tells the request that it carries. */
public interface CallerHandle {

  /** A request that was answered at once. */
  CallerHandle NONE =
      new CallerHandle() {
        @Override
        public void onCallerLeft() {}

        @Override
        public void onWritableChanged(boolean writable) {}
      };

  /** The caller closed its connection. */
  void onCallerLeft();

  /** The caller's connection takes more data again, or no longer does. */
  void onWritableChanged(boolean writable);
}
