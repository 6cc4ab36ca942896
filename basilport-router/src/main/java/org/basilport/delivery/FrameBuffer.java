package org.basilport.delivery;

import java.util.ArrayDeque;
import java.util.Deque;
import org.basilport.engine.TokenFrame;
import org.basilport.event.EventSink;
import org.basilport.event.Invariant;

/**
 * Buffer of one token stream in order: accepts only the frame at the next offset of the current
 * generation, and delivers each token once.
 */
final class FrameBuffer {
  /** Maximum number of frames that wait for the caller. */
  static final int CAPACITY = 64;

  /** The result of offering a frame. */
  enum OfferResult {
    ACCEPTED,
    /** The frame is of another generation, or starts before the next offset. */
    DROPPED,
    /** The frame was not accepted: an earlier one is missing, or the buffer is full. */
    GAP
  }

  private final EventSink events;
  private final Deque<TokenFrame> frames = new ArrayDeque<>();
  private String generationId;
  private String deliveredGenerationId;
  private long nextOffset;
  private long deliveredOffset;

  /** Creates a buffer for a stream whose caller already has the tokens before {@code offset}. */
  FrameBuffer(EventSink events, String generationId, long offset) {
    this.events = events;
    this.generationId = generationId;
    this.deliveredGenerationId = offset > 0 ? generationId : null;
    this.nextOffset = offset;
    this.deliveredOffset = offset;
  }

  /** Restarts with another generation; allowed only before the first token is delivered. */
  void restart(String newGenerationId) {
    frames.clear();
    generationId = newGenerationId;
    nextOffset = deliveredOffset;
  }

  OfferResult offer(TokenFrame frame) {
    boolean foreign = !frame.generationId().equals(generationId);
    if (foreign || frame.offset() < nextOffset) {
      return OfferResult.DROPPED;
    }
    if (frame.offset() > nextOffset || frames.size() >= CAPACITY) {
      return OfferResult.GAP;
    }
    frames.add(frame);
    nextOffset += frame.tokens().size();
    return OfferResult.ACCEPTED;
  }

  /** Removes and returns the next frame. */
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
