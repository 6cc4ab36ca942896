package org.basilport.standin;

/** Told when a stand-in goes down or comes back. */
@FunctionalInterface
public interface AvailabilityListener {

  /** The stand-in went down or came back; called while its lock is held, so it must not block. */
  void availabilityChanged(boolean available);
}
