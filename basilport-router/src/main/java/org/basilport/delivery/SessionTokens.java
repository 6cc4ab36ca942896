package org.basilport.delivery;

import java.time.Duration;
import org.basilport.backend.BackendServer;
import org.basilport.policy.GenerationClass;

/** Makes the resume tokens of sessions. */
final class SessionTokens {
  // Longer than any resume window: the engine decides how long it keeps a generation.
  private static final Duration LIFETIME = Duration.ofHours(1);

  private SessionTokens() {}

  /** Returns the token to go on with; empty for work that no caller resumes. */
  static String encode(
      DeliveryEnvironment environment,
      SessionWork work,
      BackendServer server,
      String generationId,
      long nextOffset) {
    if (work.generationClass() == GenerationClass.DEFERRED) {
      return "";
    }
    long expiry = environment.traffic().now().plus(LIFETIME).getEpochSecond();
    return environment
        .tokens()
        .encode(
            new ResumeToken(
                work.workspace(),
                work.service(),
                server.id(),
                server.incarnation(),
                generationId,
                nextOffset,
                expiry));
  }
}
