package org.basilport.bench.policy;

/** Hears what happens at an engine. */
interface EngineListener {

  /** The first token of a generation was produced. */
  void firstToken(Generation generation, long nowNanos);

  /** A number of generations, some of them streamed, each produced a token after a gap. */
  void tokens(long gapNanos, int count, int streamed);

  /** A generation progressed by a block of tokens. */
  void progressed(Generation generation, long nowNanos);

  /** A generation produced its last token. */
  void finished(Generation generation, long nowNanos);

  /** A generation was preempted and waits at the engine. */
  void preempted(Generation generation, long nowNanos);

  /** A prefix entered or left the cache. */
  void cached(String serverId, long prefixHash, boolean present);
}
