package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Chooses the model engine that is expected to produce the first token soonest.
 *
 * <p>Answers load with long prompts: engines read prompts one after another in chunks between the
 * tokens of running generations, so the prompt tokens that are still unread decide the time to the
 * first token. An engine whose memory would be exceeded is not chosen, because it would preempt a
 * running generation and read its prompt twice.
 */
public final class EarliestFirstTokenSelector implements ServerSelector {
  /** Reading time per token before the first observation: 112 tokens in a step of 16 ms. */
  static final double DEFAULT_NANOS_PER_TOKEN = 145_000;

  /** Share of an engine's memory that may be assigned; the rest absorbs wrong estimates. */
  private static final double MEMORY_SHARE = 0.9;

  /** Cost of another data centre, about the round trip between data centres. */
  private static final double OTHER_DATA_CENTRE_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

  /**
   * Cost of a full memory. It spreads generations evenly, so that an engine that is reclaimed has
   * few of them to move; it is about the time to read one long prompt.
   */
  private static final double FULL_MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Slowdown that a fully occupied batch causes, as a share of the reading time. */
  private static final double BATCH_SLOWDOWN = 0.5;

  /** Random spread of estimates, so that instances with the same view choose differently. */
  private static final double SPREAD = 0.1;

  private final String dataCentre;
  private final long firstTokenLimitNanos;
  private final SplittableRandom random;

  /**
   * Creates a selector.
   *
   * @param dataCentre data centre of this instance
   * @param firstTokenLimitNanos an engine with a later expected first token is not chosen
   */
  public EarliestFirstTokenSelector(
      String dataCentre, long firstTokenLimitNanos, SplittableRandom random) {
    this.dataCentre = dataCentre;
    this.firstTokenLimitNanos = firstTokenLimitNanos;
    this.random = random;
  }

  @Override
  public Optional<ServerLoad> select(
      Collection<ServerLoad> candidates, RequestDemand demand, long nowNanos) {
    return ServerSelector.cheapest(candidates, server -> cost(server, demand, nowNanos));
  }

  private double cost(ServerLoad server, RequestDemand demand, long nowNanos) {
    if (!hasRoom(server, demand)) {
      return Double.POSITIVE_INFINITY;
    }
    double firstToken = expectedFirstTokenNanos(server, demand);
    if (firstToken > firstTokenLimitNanos && server.totalWork().pendingPrefillTokens() > 0) {
      return Double.POSITIVE_INFINITY;
    }
    return firstToken * (1 + SPREAD * random.nextDouble()) + penalty(server, nowNanos);
  }

  /** Whether batch and memory of an engine can take a generation without preempting another. */
  public static boolean hasRoom(ServerLoad server, RequestDemand demand) {
    OutstandingWork work = server.totalWork();
    if (work.requests() >= server.slots()) {
      return false;
    }
    return work.requests() == 0
        || work.memoryTokens() + demand.memoryTokens() <= MEMORY_SHARE * server.memoryTokens();
  }

  /** Estimates the time from sending a generation to its first token. */
  public static double expectedFirstTokenNanos(ServerLoad server, RequestDemand demand) {
    OutstandingWork work = server.totalWork();
    double batch = 1 + BATCH_SLOWDOWN * work.requests() / server.slots();
    return server.nanosPerPrefillToken()
        * (work.pendingPrefillTokens() + demand.promptTokens())
        * batch;
  }

  private double penalty(ServerLoad server, long nowNanos) {
    double penalty = server.dataCentre().equals(dataCentre) ? 0 : OTHER_DATA_CENTRE_NANOS;
    penalty += FULL_MEMORY_NANOS * server.totalWork().memoryTokens() / server.memoryTokens();
    penalty += server.health().failureRate() * firstTokenLimitNanos;
    if (server.warmingUp(nowNanos)) {
      penalty += firstTokenLimitNanos / 4.0;
    }
    return penalty;
  }
}
