package org.basilport.deferred;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The outcome of a job, as stored in its result object.
 *
 * @param finished whether the job finished; false if it failed
 * @param text complete generated text, or the failure message
 */
record JobResult(boolean finished, String text) {
  static final String PREFIX = "results/";

  private static final byte FINISHED = 1;
  private static final byte FAILED = 2;

  byte[] encode() {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    byte[] value = new byte[body.length + 1];
    value[0] = finished ? FINISHED : FAILED;
    System.arraycopy(body, 0, value, 1, body.length);
    return value;
  }

  static JobResult decode(byte[] value) {
    String text = new String(value, 1, value.length - 1, StandardCharsets.UTF_8);
    return new JobResult(value[0] == FINISHED, text);
  }

  DeferredJob toJob(String id, String workspace) {
    return new DeferredJob(
        id,
        workspace,
        finished ? DeferredJob.State.FINISHED : DeferredJob.State.FAILED,
        finished ? Optional.of(text) : Optional.empty(),
        finished ? Optional.empty() : Optional.of(text));
  }
}
