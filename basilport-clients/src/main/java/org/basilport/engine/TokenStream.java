package org.basilport.engine;

/** The reader's side of a running generation. */
public interface TokenStream {

  /** Allows the engine to send more frames. */
  void request(int frames);

  /** Stops reading without cancelling the generation; the listener gets no further call. */
  void close();
}
