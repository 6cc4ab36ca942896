package org.basilport.delivery;

import java.time.Duration;
import org.basilport.backend.BackendServer;

/** Makes the resume tokens of sessions. */
final class SessionTokens {
  // Longer than any resume window: the engine decides how long it keeps a generation.
  private static final Duration LIFETIME = Duration.ofHours(1);

  private SessionTokens() {}

  /** Returns the token to go on with after the tokens before an offset. */
  static String encode(
      DeliveryEnvironment environment,
      GenerationTask work,
      BackendServer server,
      String generationId,
      long nextOffset) {
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
                work.fingerprint(),
                expiry));
  }
}
