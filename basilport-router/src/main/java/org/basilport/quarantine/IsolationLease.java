package org.basilport.quarantine;

/** The slots in which a suspect request runs; only the first call that ends the lease counts. */
public interface IsolationLease {

  /** Releases both slots after the request ended or was not sent. */
  void release();

  /**
   * Releases the slot of the backend server, but leaves the slot of the fingerprint to expire.
   * After a lost connection, another instance must not run the request before gossip of the loss
   * has reached it.
   */
  void releaseServerSlot();

  /** Returns a lease without slots. */
  static IsolationLease none() {
    return new IsolationLease() {
      @Override
      public void release() {}

      @Override
      public void releaseServerSlot() {}
    };
  }
}
