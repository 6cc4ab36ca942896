package org.basilport.policy;

/** Latency class of a generation. */
public enum GenerationClass {
  /** The caller reads tokens as they are generated. */
  STREAMED,
  /** The caller collects the complete result later. */
  DEFERRED
}
