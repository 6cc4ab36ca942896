package org.basilport.standin.engine;

import org.basilport.engine.TokenListener;

/** A token listener that is also told when the engine accepted the request. */
public interface EngineConnectionListener extends TokenListener {

  /** The engine accepted the request; tokens follow. */
  void onAccepted();
}
