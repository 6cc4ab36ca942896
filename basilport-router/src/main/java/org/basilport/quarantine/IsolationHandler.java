package org.basilport.quarantine;

import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;

/** Grants the slots in which suspect requests may run on the backend servers that it owns. */
public interface IsolationHandler {

  /** Grants the slot of a backend server when it is free and the fingerprint runs nowhere else. */
  IsolationReply acquire(IsolationRequest request);

  /** Frees the slot. */
  IsolationReply release(IsolationRequest request);
}
