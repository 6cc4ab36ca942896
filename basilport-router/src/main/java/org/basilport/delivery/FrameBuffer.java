package org.basilport.delivery;

import java.util.ArrayDeque;
import java.util.Deque;
import org.basilport.engine.TokenFrame;
import org.basilport.event.EventSink;
import org.basilport.event.Invariant;

/**
 * The frames of one stream in order: accepts exactly the next offset of one generation, and hands
 * out each token once.
 */
final class FrameBuffer {
  /** Largest number of frames that wait for the caller. */
  static final int CAPACITY = 64;

  /** What became of a frame. */
  enum Arrival {
    ACCEPTED,
    DROPPED,
    GAP
  }

  private final EventSink events;
  private final Deque<TokenFrame> frames = new ArrayDeque<>();
  private String generationId;
  private String deliveredGenerationId;
  private long nextOffset;
  private long deliveredOffset;

  /** Creates a buffer for a stream whose caller has the tokens before an offset. */
  FrameBuffer(EventSink events, String generationId, long offset) {
    this.events = events;
    this.generationId = generationId;
    this.deliveredGenerationId = offset > 0 ? generationId : null;
    this.nextOffset = offset;
    this.deliveredOffset = offset;
  }

  /** Starts over with another generation; allowed only before the first token was delivered. */
  void restart(String newGenerationId) {
    frames.clear();
    generationId = newGenerationId;
    nextOffset = deliveredOffset;
  }

  Arrival offer(TokenFrame frame) {
    boolean foreign = !frame.generationId().equals(generationId);
    if (foreign || frame.offset() < nextOffset) {
      return Arrival.DROPPED;
    }
    if (frame.offset() > nextOffset || frames.size() >= CAPACITY) {
      return Arrival.GAP;
    }
    frames.add(frame);
    nextOffset += frame.tokens().size();
    return Arrival.ACCEPTED;
  }

  /** Removes the next frame for the caller. */
  TokenFrame take() {
    TokenFrame frame = frames.remove();
    boolean sameGeneration =
        deliveredGenerationId == null || deliveredGenerationId.equals(frame.generationId());
    Invariant.check(sameGeneration, events, "one generation per stream", frame.generationId());
    Invariant.check(frame.offset() == deliveredOffset, events, "each token once", frame::toString);
    deliveredGenerationId = frame.generationId();
    deliveredOffset += frame.tokens().size();
    return frame;
  }

  boolean isEmpty() {
    return frames.isEmpty();
  }

  int size() {
    return frames.size();
  }

  long nextOffset() {
    return nextOffset;
  }

  long deliveredOffset() {
    return deliveredOffset;
  }
}
