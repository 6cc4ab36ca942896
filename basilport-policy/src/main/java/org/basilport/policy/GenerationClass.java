package org.basilport.policy;

/** How urgent a generation is. */
public enum GenerationClass {
  /** A caller reads the tokens while they are generated. */
  STREAMED,
  /** The result is collected later. */
  DEFERRED
}
