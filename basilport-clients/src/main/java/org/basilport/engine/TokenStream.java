package org.basilport.engine;

/** Controls the delivery of a generation to its reader. */
public interface TokenStream {

  /** Requests the delivery of further frames. */
  void request(int frames);

  /** Stops reading without cancelling the generation; the listener is not called again. */
  void close();
}
