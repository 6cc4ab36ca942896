package org.basilport.bench.contention;

import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.ContendingRequest;
import org.basilport.policy.dispatch.PendingRequestQueue;

/** One attempt of a simulated caller. */
final class SimulatedRequest {
  static final long TARGET_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Time for which a request waits in an instance. */
  static final long MAX_WAIT_NANOS = Math.round(PendingRequestQueue.MAX_WAIT_RATIO * TARGET_NANOS);

  private static final long NANOS_PER_TOKEN = TimeUnit.MILLISECONDS.toNanos(2);

  private final int workspace;
  private final int subject;
  private final int promptTokens;
  private final int outputTokens;
  final long giveUpNanos;
  SimulatedInstance instance;
  int engine = -1;
  boolean returned;
  boolean done;

  SimulatedRequest(
      int workspace, int subject, int promptTokens, int outputTokens, long giveUpNanos) {
    this.workspace = workspace;
    this.subject = subject;
    this.promptTokens = promptTokens;
    this.outputTokens = outputTokens;
    this.giveUpNanos = giveUpNanos;
  }

  SimulatedRequest nextAttempt() {
    return new SimulatedRequest(workspace, subject, promptTokens, outputTokens, giveUpNanos);
  }

  int workspace() {
    return workspace;
  }

  ContendingRequest demand() {
    return new ContendingRequest(0, workspace, subject, tokens());
  }

  long tokens() {
    return ContendingRequest.tokens(promptTokens, outputTokens);
  }

  /** Time for which a request of the given tokens occupies a slot. */
  static long runNanos(long tokens) {
    return tokens * NANOS_PER_TOKEN;
  }

  /** Time for which the request occupies a slot. */
  long runNanos() {
    return runNanos(tokens());
  }
}
