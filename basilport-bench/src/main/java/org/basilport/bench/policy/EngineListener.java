package org.basilport.bench.policy;

/** Receives the events of an engine model; times are nanoseconds since the start of the run. */
interface EngineListener {

  /** Called when a generation has produced its first token. */
  void firstToken(Generation generation, long nowNanos);

  /**
   * Called when several generations have each produced a token after the same gap.
   *
   * @param gapNanos time since the previous token of each generation, in nanoseconds
   * @param count number of generations
   * @param streamedCount number of streamed generations among them
   */
  void tokensProduced(long gapNanos, int count, int streamedCount);

  /** Called each time that a generation has produced another block of tokens. */
  void progressed(Generation generation, long nowNanos);

  /** Called when a generation has produced its last token. */
  void finished(Generation generation, long nowNanos);

  /** Called when a generation has been preempted and queued again at the same engine. */
  void preempted(Generation generation, long nowNanos);

  /** Called when a prefix was added to the cache or evicted from it. */
  void prefixCacheChanged(String serverId, long prefixHash, boolean present);
}
