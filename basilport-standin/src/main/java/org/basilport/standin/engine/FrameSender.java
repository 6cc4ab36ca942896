package org.basilport.standin.engine;

import java.util.SplittableRandom;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenFrame;

/**
 * Splits the tokens of a generation into frames and injects frame faults; guarded by the engine's
 * lock.
 */
final class FrameSender {
  private static final int MAX_TOKENS_PER_FRAME = 16;

  private final EngineFaults faults;
  private final SplittableRandom random;

  FrameSender(EngineFaults faults, SplittableRandom random) {
    this.faults = faults;
    this.random = random;
  }

  /** Sends frames up to the reader's credit, and returns whether the end of stream was sent. */
  boolean send(SimulatedGeneration generation, SimulatedReader reader) {
    while (reader.credits > 0 && reader.nextOffset < generation.generatedTokens) {
      sendNext(generation, reader);
    }
    if (!generation.ended() || reader.nextOffset < generation.generatedTokens) {
      return false;
    }
    reader.sendEnd(
        new GenerationEnd(generation.id(), generation.generatedTokens, generation.endReason));
    return true;
  }

  private void sendNext(SimulatedGeneration generation, SimulatedReader reader) {
    long from = reader.nextOffset;
    long to = Math.min(generation.generatedTokens, from + MAX_TOKENS_PER_FRAME);
    TokenFrame frame = frame(generation.id(), from, to);
    reader.nextOffset = to;
    if (to - from > 1 && reader.credits > 1 && isInjected(faults.reorderedFrames())) {
      long middle = from + (to - from) / 2;
      reader.sendFrame(frame(generation.id(), middle, to));
      reader.sendFrame(frame(generation.id(), from, middle));
      return;
    }
    if (reader.credits > 1 && isInjected(faults.unknownGenerationFrames())) {
      reader.sendFrame(frame(generation.id() + "-foreign", from, to));
    }
    reader.sendFrame(frame);
    if (reader.credits > 0 && isInjected(faults.duplicateFrames())) {
      reader.sendFrame(frame);
    }
  }

  private boolean isInjected(double probability) {
    return probability > 0 && random.nextDouble() < probability;
  }

  private static TokenFrame frame(String id, long from, long to) {
    return new TokenFrame(id, from, GenerationText.tokens(id, from, to));
  }
}
