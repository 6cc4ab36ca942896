package org.basilport.standin.engine;

import org.basilport.engine.EngineRequest;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.RunningGeneration;

/** State of one generation; guarded by the engine's lock. */
final class SimulatedGeneration {
  final EngineRequest request;
  final long arrivalNumber;
  final long promptTokens;
  final int targetLength;
  long generatedTokens;
  long remainingPrefillTokens;
  long admissionNumber;
  boolean admitted;
  GenerationEnd.Reason endReason;
  SimulatedReader reader;
  long unattachedSinceNanos;

  SimulatedGeneration(EngineRequest request, long arrivalNumber, int targetLength) {
    this.request = request;
    this.arrivalNumber = arrivalNumber;
    this.promptTokens = PrefixCache.tokenCount(request.prompt());
    this.targetLength = targetLength;
  }

  String id() {
    return request.generationId();
  }

  long allocatedTokens() {
    return admitted ? requiredTokens() : 0;
  }

  /** Tokens of key-value memory that the generation occupies while it is admitted. */
  long requiredTokens() {
    return promptTokens + generatedTokens;
  }

  boolean ended() {
    return endReason != null;
  }

  /** Adds one token; ends the generation at its target length or the request's maximum. */
  void addToken() {
    generatedTokens++;
    if (generatedTokens >= targetLength) {
      endReason = GenerationEnd.Reason.STOP;
    } else if (generatedTokens >= request.maxTokens()) {
      endReason = GenerationEnd.Reason.LENGTH;
    }
  }

  RunningGeneration toRunningGeneration(long nowNanos) {
    long unattached = reader != null ? 0 : (nowNanos - unattachedSinceNanos) / 1_000_000;
    return new RunningGeneration(
        id(), request.workspace(), allocatedTokens(), generatedTokens, Math.max(0, unattached));
  }
}
