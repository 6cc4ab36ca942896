package org.basilport.standin.engine;

import org.basilport.engine.TokenListener;

/** Token listener that is also notified when the engine accepts the request. */
public interface EngineConnectionListener extends TokenListener {

  /** Called once when the engine accepts the request, before any tokens. */
  void onAccepted();
}
