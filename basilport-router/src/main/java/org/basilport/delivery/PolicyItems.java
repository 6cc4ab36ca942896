package org.basilport.delivery;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.basilport.policy.WorkItem;

/** Describes sessions to the policy. */
final class PolicyItems {
  // A common ratio for text; engines report the true lengths.
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int PREFIX_CHARACTERS = 512;

  private PolicyItems() {}

  static WorkItem item(GenerationTask work, int attempt) {
    String prompt = work.request().prompt();
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
    return new WorkItem(
        work.requestId(),
        work.workspace(),
        work.request().route(),
        work.model(),
        work.generationClass(),
        1 + prompt.length() / CHARACTERS_PER_TOKEN,
        work.request().maxTokens(),
        Hashing.murmur3_128().hashString(prefix, StandardCharsets.UTF_8).asLong(),
        attempt);
  }
}
