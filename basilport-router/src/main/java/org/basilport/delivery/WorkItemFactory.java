package org.basilport.delivery;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.basilport.policy.WorkItem;

/** Creates the policy's work items from generation requests. */
final class WorkItemFactory {
  // Rough estimate for text; engines report the actual lengths.
  private static final int CHARACTERS_PER_TOKEN = 4;
  // Prompts that share this prefix have the same hash for cache affinity.
  private static final int PREFIX_CHARACTERS = 512;

  private WorkItemFactory() {}

  static WorkItem create(GenerationTask task, int attempt) {
    String prompt = task.request().prompt();
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
    return new WorkItem(
        task.requestId(),
        task.workspace(),
        task.request().route(),
        task.model(),
        task.generationClass(),
        1 + prompt.length() / CHARACTERS_PER_TOKEN,
        task.request().maxTokens(),
        Hashing.murmur3_128().hashString(prefix, StandardCharsets.UTF_8).asLong(),
        attempt);
  }
}
