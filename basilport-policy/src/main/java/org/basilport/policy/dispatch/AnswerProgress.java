package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Judges from the progress of a response whether its request crashes servers.
 *
 * <p>The load it answers: long generations that are cut off when another request crashes their
 * engine. A request that crashes its server does so as the response begins, so one whose response
 * goes on for a while is sound, also when it is cut off later.
 */
public final class AnswerProgress {
  /** Duration of a response after which its request is sound. */
  private static final long SOUND_ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private boolean answering;
  private boolean sound;
  private long startNanos;

  /** Records that the request is sent to a server, again if it was sent before. */
  public void recordSend() {
    answering = false;
  }

  /** Records that the server has begun its response. */
  public void recordStart(long nowNanos) {
    answering = true;
    startNanos = nowNanos;
  }

  /** Records that the server goes on; returns whether this proves the request to be sound. */
  public boolean recordContinuation(long nowNanos) {
    if (sound || !answering || nowNanos - startNanos <= SOUND_ANSWER_NANOS) {
      return false;
    }
    sound = true;
    return true;
  }

  /** Records that the server has answered the request completely. */
  public void recordCompletion() {
    sound = true;
  }

  /** Whether the server has begun its response to the latest send. */
  public boolean answering() {
    return answering;
  }

  /** Whether the request is known not to crash servers. */
  public boolean sound() {
    return sound;
  }
}
