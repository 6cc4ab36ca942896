package org.basilport.standin;

/** Notified when a stand-in becomes unavailable after a crash, and when it is available again. */
@FunctionalInterface
public interface AvailabilityListener {

  /** Called on each change while the lock of the stand-in is held, so it must not block. */
  void availabilityChanged(boolean available);
}
