package org.basilport.gateway.frontend;

/** What a connection tells the request that it carries. */
public interface CallerConnectionListener {

  /** A request that was answered at once. */
  CallerConnectionListener NONE =
      new CallerConnectionListener() {
        @Override
        public void onCallerDisconnected() {}

        @Override
        public void onWritabilityChanged(boolean writable) {}
      };

  /** The caller closed its connection. */
  void onCallerDisconnected();

  /** The caller's connection takes more data again, or no longer does. */
  void onWritabilityChanged(boolean writable);
}
