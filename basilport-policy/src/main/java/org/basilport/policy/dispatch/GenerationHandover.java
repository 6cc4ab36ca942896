package org.basilport.policy.dispatch;

import java.util.Optional;

/**
 * Decides which engine goes on with a generation that is being moved.
 *
 * <p>The engine that runs the generation is the source. It is asked for a last copy, for which it
 * stops the generation. The answer to that request and the end of the stopped stream arrive in any
 * order, each may be missing, and the generation may end by itself at the same time. The copy is
 * used by at most one engine. Not safe for use by several threads.
 */
public final class GenerationHandover {
  private enum Phase {
    AT_SOURCE,
    STOPPING,
    CONTINUING_AT_TARGET,
    CONTINUING_AT_SOURCE
  }

  /** How the stream of the engine that runs the generation ended. */
  public enum StreamEnd {
    /** The server marked the end of the stream. */
    COMPLETE,
    /** The connection was closed after a whole event; the stream has no other end. */
    POSSIBLY_COMPLETE,
    /** The connection was lost, or the stream ended within an event. */
    BROKEN
  }

  /** Answer to the request for the last copy. */
  public enum LastCopy {
    /** The generation has stopped, and the target holds the copy. */
    COPIED,
    /** The generation has stopped, but only the source holds its KV cache. */
    KEPT_AT_SOURCE,
    /** The source does not run the generation. */
    NO_SUCH_RUN,
    /** There is no usable answer, so the generation may have stopped. */
    UNKNOWN
  }

  /** What to do next. */
  public enum Decision {
    /** Wait for the next event. */
    WAIT,
    /** Read the stream of the source further; the move may be tried again. */
    STAY,
    /** Deliver the stream as complete. */
    FINISH,
    /** Send the continuation to the target. */
    CONTINUE_AT_TARGET,
    /** Send the continuation to the source. */
    CONTINUE_AT_SOURCE,
    /** No engine continues the run: begin another one after the last event, or fail the stream. */
    BREAK_OFF
  }

  /** Which engines may be sent the continuation at the time of a decision. */
  public interface Availability {
    /** Whether the target may be sent a request. */
    boolean target();

    /** Whether the source may be sent a request. */
    boolean source();
  }

  private Phase phase = Phase.AT_SOURCE;
  private Optional<LastCopy> answer = Optional.empty();
  private Optional<StreamEnd> streamEnd = Optional.empty();

  /** Whether the source may have stopped the generation without our knowledge. */
  private boolean mayHaveStopped;

  /** Records that the source is requested to stop the generation for the last copy. */
  public void beginStop() {
    phase = Phase.STOPPING;
    answer = Optional.empty();
    streamEnd = Optional.empty();
  }

  /** Whether the source was requested to stop, and it is not decided yet who goes on. */
  public boolean stopping() {
    return phase == Phase.STOPPING;
  }

  /** Records the answer to the request for the last copy; ignored unless the source is stopping. */
  public Decision onLastCopy(LastCopy lastCopy, Availability availability) {
    if (phase != Phase.STOPPING || answer.isPresent()) {
      return Decision.WAIT;
    }
    answer = Optional.of(lastCopy);
    mayHaveStopped |= lastCopy == LastCopy.UNKNOWN;
    return decide(availability);
  }

  /** Records the end of the stream of the engine that runs the generation. */
  public Decision onStreamEnd(StreamEnd end, Availability availability) {
    if (end == StreamEnd.COMPLETE) {
      phase = Phase.AT_SOURCE;
      return Decision.FINISH;
    }
    if (phase != Phase.STOPPING) {
      phase = Phase.AT_SOURCE;
      return finishOrBreakOff(end);
    }
    if (streamEnd.isEmpty()) {
      streamEnd = Optional.of(end);
    }
    return decide(availability);
  }

  private Decision decide(Availability availability) {
    if (answer.isEmpty()) {
      return Decision.WAIT;
    }
    switch (answer.get()) {
      case COPIED:
      case KEPT_AT_SOURCE:
        return streamEnd.isEmpty() ? Decision.WAIT : continueFromCopy(availability);
      default:
        phase = Phase.AT_SOURCE;
        return streamEnd.isEmpty() ? Decision.STAY : finishOrBreakOff(streamEnd.get());
    }
  }

  private Decision continueFromCopy(Availability availability) {
    if (answer.get() == LastCopy.COPIED && availability.target()) {
      phase = Phase.CONTINUING_AT_TARGET;
      return Decision.CONTINUE_AT_TARGET;
    }
    return continueAtSource(availability);
  }

  private Decision continueAtSource(Availability availability) {
    boolean possible = availability.source();
    phase = possible ? Phase.CONTINUING_AT_SOURCE : Phase.AT_SOURCE;
    return possible ? Decision.CONTINUE_AT_SOURCE : Decision.BREAK_OFF;
  }

  /** A stream without a visible end is complete only if nothing can have stopped it. */
  private Decision finishOrBreakOff(StreamEnd end) {
    return end == StreamEnd.POSSIBLY_COMPLETE && !mayHaveStopped
        ? Decision.FINISH
        : Decision.BREAK_OFF;
  }

  /**
   * Records that an engine has not executed the continuation, so that the copy is still unused.
   *
   * @return {@link Decision#CONTINUE_AT_SOURCE} or {@link Decision#BREAK_OFF}
   */
  public Decision onContinuationNotExecuted(Availability availability) {
    if (phase == Phase.CONTINUING_AT_TARGET) {
      return continueAtSource(availability);
    }
    phase = Phase.AT_SOURCE;
    return Decision.BREAK_OFF;
  }

  /** Whether a continuation was sent, or is to be sent, that no engine is known to execute. */
  public boolean continuing() {
    return phase == Phase.CONTINUING_AT_TARGET || phase == Phase.CONTINUING_AT_SOURCE;
  }

  /**
   * Records that another engine, or the same one anew, runs the generation or may run it, so that
   * nothing is known of a request to stop it.
   */
  public void restart() {
    phase = Phase.AT_SOURCE;
    answer = Optional.empty();
    streamEnd = Optional.empty();
    mayHaveStopped = false;
  }
}
