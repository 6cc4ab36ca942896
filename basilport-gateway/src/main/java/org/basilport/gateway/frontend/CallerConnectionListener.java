package org.basilport.gateway.frontend;

/** Receives events of the caller's connection while it carries a request. */
public interface CallerConnectionListener {

  /** Ignores all events; for requests whose response was sent immediately. */
  CallerConnectionListener NONE =
      new CallerConnectionListener() {
        @Override
        public void onCallerDisconnected() {}

        @Override
        public void onWritabilityChanged(boolean writable) {}
      };

  /** Called when the caller closed its connection. */
  void onCallerDisconnected();

  /** Called when the caller's connection becomes writable or stops being writable. */
  void onWritabilityChanged(boolean writable);
}
