package org.basilport.quarantine;

/** The slots in which a suspect request runs; the first call that ends the lease counts. */
public interface IsolationLease {

  /** Frees the slots after the request ended or was not sent. */
  void release();

  /**
   * Frees the slot of the backend server, and keeps that of the fingerprint until it expires. After
   * a lost connection another instance must not run the request before the news of the loss has
   * reached it.
   */
  void lapse();

  /** A lease of a request that needs no slots. */
  static IsolationLease none() {
    return new IsolationLease() {
      @Override
      public void release() {}

      @Override
      public void lapse() {}
    };
  }
}
