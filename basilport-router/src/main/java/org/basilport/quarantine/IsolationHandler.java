package org.basilport.quarantine;

import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;

/** Grants the isolation slots in which suspect requests may run. */
public interface IsolationHandler {

  /** Grants a slot if it is free and the fingerprint holds no slot under another holder. */
  IsolationReply acquire(IsolationRequest request);

  /** Releases a slot if the requesting holder has it. */
  IsolationReply release(IsolationRequest request);
}
