package org.basilport.standin.engine;

import org.basilport.engine.EngineRequest;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.RunningGeneration;

/** State of one generation; guarded by the engine's lock. */
final class SimulatedGeneration {
  final EngineRequest request;
  final long arrival;
  final long promptTokens;
  final int targetLength;
  long generated;
  long prefillRemaining;
  long admission;
  boolean admitted;
  GenerationEnd.Reason endReason;
  SimulatedReader reader;
  long unattachedSinceNanos;

  SimulatedGeneration(EngineRequest request, long arrival, int drawnLength) {
    this.request = request;
    this.arrival = arrival;
    this.promptTokens = PrefixCache.tokensOf(request.prompt());
    this.targetLength = drawnLength;
  }

  String id() {
    return request.generationId();
  }

  long heldTokens() {
    return admitted ? neededTokens() : 0;
  }

  /** Tokens that the generation holds once it is admitted. */
  long neededTokens() {
    return promptTokens + generated;
  }

  boolean ended() {
    return endReason != null;
  }

  /** Adds one token and ends the generation at its length. */
  void addToken() {
    generated++;
    if (generated >= targetLength) {
      endReason = GenerationEnd.Reason.STOP;
    } else if (generated >= request.maxTokens()) {
      endReason = GenerationEnd.Reason.LENGTH;
    }
  }

  RunningGeneration report(long nowNanos) {
    long unattached = reader != null ? 0 : (nowNanos - unattachedSinceNanos) / 1_000_000;
    return new RunningGeneration(
        id(), request.workspace(), heldTokens(), generated, Math.max(0, unattached));
  }
}
