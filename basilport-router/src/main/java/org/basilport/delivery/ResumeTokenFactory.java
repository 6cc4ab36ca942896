package org.basilport.delivery;

import java.time.Duration;
import org.basilport.backend.BackendServer;

/** Creates the signed resume tokens of sessions. */
final class ResumeTokenFactory {
  // Longer than any resume window, so that the engine's retention is the limit.
  private static final Duration TOKEN_LIFETIME = Duration.ofHours(1);

  private ResumeTokenFactory() {}

  /** Returns the signed token with which to resume at {@code nextOffset}. */
  static String create(
      DeliveryEnvironment environment,
      GenerationTask task,
      BackendServer server,
      String generationId,
      long nextOffset) {
    long expiresAtSeconds = environment.traffic().now().plus(TOKEN_LIFETIME).getEpochSecond();
    return environment
        .resumeTokenCodec()
        .encode(
            new ResumeToken(
                task.workspace(),
                task.service(),
                server.id(),
                server.incarnation(),
                generationId,
                nextOffset,
                task.fingerprint(),
                expiresAtSeconds));
  }
}
