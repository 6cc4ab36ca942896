package org.basilport.gateway.forward;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.message.GenerationSize;
import org.basilport.policy.dispatch.ContendingRequest;

/** How an exchange competes for capacity: workspace, subject, tokens and return. */
final class ExchangeContention {
  private ExchangeContention() {}

  static ContendingRequest of(Exchange exchange) {
    String workspace = exchange.holder.map(KeyHolder::workspace).orElse("");
    List<String> parts = exchange.request.sharedPromptParts();
    String subject = parts.isEmpty() ? "" : parts.get(parts.size() - 1);
    Optional<GenerationSize> size = exchange.request.generationSize();
    return new ContendingRequest(
        exchange.priority(),
        hash(exchange.dispatcher.service(), workspace),
        hash(subject),
        ContendingRequest.tokens(
            size.map(GenerationSize::promptTokens).orElse(0),
            size.map(GenerationSize::estimatedOutputTokens).orElse(0)));
  }

  /** Tokens that an exchange used, since the estimate of its caller may be wrong. */
  static OptionalLong usedTokens(Exchange exchange) {
    if (!exchange.mayHaveBeenExecuted()) {
      return OptionalLong.of(0);
    }
    return exchange.request.generationSize().stream()
        .mapToLong(size -> ContendingRequest.tokens(size.promptTokens(), exchange.outputTokens()))
        .findFirst();
  }

  /**
   * Delay for the caller of a rejected request, in seconds; 0 if the request may have run, since
   * its caller is not told to return.
   */
  static double retryAfterSeconds(Exchange exchange) {
    return exchange.mayHaveBeenExecuted()
        ? 0
        : exchange.dispatcher.retryAfterSeconds(
            exchange, exchange.route.targetLatency(), exchange.context.random());
  }

  private static long hash(String... names) {
    Hasher hasher = Hashing.murmur3_128().newHasher();
    for (String name : names) {
      hasher.putInt(name.length()).putUnencodedChars(name);
    }
    return hasher.hash().asLong();
  }
}
