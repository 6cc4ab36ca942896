package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Selects the model engine with the earliest expected first token.
 *
 * <p>Engines prefill prompts one after another, in chunks between the decode steps of running
 * generations, so the time to the first token depends on the prompt tokens still to be prefilled.
 * An engine whose memory would be exceeded is not selected, because it would preempt a running
 * generation and have to prefill its prompt again.
 */
public final class EarliestFirstTokenSelector implements ServerSelector, PlacementCost {
  /**
   * Expected time to first token above which an engine receives no further prompt, in nanoseconds.
   * It is below the shortest target latency of the model routes (1.5 s), so that a queued prompt
   * still meets its target.
   */
  public static final long FIRST_TOKEN_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /**
   * Prefill time per token before the first observation, in nanoseconds: 112 tokens in a step of 16
   * ms.
   */
  public static final double DEFAULT_PREFILL_NANOS_PER_TOKEN = 145_000;

  /** Share of an engine's memory that may be reserved; the rest absorbs estimation errors. */
  public static final double USABLE_MEMORY_SHARE = 0.9;

  /** Cost of another data centre, about one round trip between data centres. */
  private static final double REMOTE_DATA_CENTRE_PENALTY_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

  /**
   * Cost of a full memory, about the prefill time of one long prompt. It spreads generations
   * evenly, so that few have to move when an engine is reclaimed.
   */
  private static final double FULL_MEMORY_PENALTY_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Slowdown of prefill by a full batch, as a share of the prefill time. */
  private static final double BATCH_SLOWDOWN = 0.5;

  /**
   * Largest random increase of an estimate, as a share, so that instances with the same view choose
   * different engines.
   */
  private static final double MAX_JITTER_SHARE = 0.1;

  private final String dataCentre;
  private final long firstTokenLimitNanos;
  private final SplittableRandom random;

  /**
   * Creates a selector.
   *
   * @param dataCentre data centre of this instance
   * @param firstTokenLimitNanos limit of the expected time to the first token; an engine with
   *     pending prefill work that exceeds it is not selected
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
    return ServerSelector.lowestCost(candidates, server -> cost(server, demand, nowNanos));
  }

  private double cost(ServerLoad server, RequestDemand demand, long nowNanos) {
    if (!accepts(server, server.totalWork(), demand)) {
      return Double.POSITIVE_INFINITY;
    }
    double firstToken = expectedFirstTokenNanos(server, demand);
    return firstToken * (1 + MAX_JITTER_SHARE * random.nextDouble())
        + FULL_MEMORY_PENALTY_NANOS * server.totalWork().memoryTokens() / server.memoryTokens()
        + fixedCost(server, nowNanos);
  }

  @Override
  public boolean accepts(ServerLoad server, OutstandingWork work, RequestDemand demand) {
    return hasCapacity(server, work, demand)
        && (work.pendingPrefillTokens() == 0
            || expectedFirstTokenNanos(server, work, demand) <= firstTokenLimitNanos);
  }

  /**
   * {@inheritDoc}
   *
   * <p>The observed prefill time already holds the long-term speed of the engine, so the speed
   * weighs only the memory, which a slow engine holds for longer.
   */
  @Override
  public double workCost(
      ServerLoad server, OutstandingWork work, RequestDemand demand, double slowness) {
    double memoryShare =
        (double) (work.memoryTokens() + demand.memoryTokens()) / Math.max(1, server.memoryTokens());
    return expectedFirstTokenNanos(server, work, demand)
        + FULL_MEMORY_PENALTY_NANOS * memoryShare * slowness;
  }

  /**
   * Whether an engine has batch slots and memory for a generation without preempting another one.
   */
  public static boolean hasCapacity(ServerLoad server, RequestDemand demand) {
    return hasCapacity(server, server.totalWork(), demand);
  }

  private static boolean hasCapacity(
      ServerLoad server, OutstandingWork work, RequestDemand demand) {
    if (work.requests() >= server.slots()) {
      return false;
    }
    return work.requests() == 0
        || work.memoryTokens() + demand.memoryTokens()
            <= USABLE_MEMORY_SHARE * server.memoryTokens();
  }

  /** Estimates the time from sending a generation to its first token, in nanoseconds. */
  public static double expectedFirstTokenNanos(ServerLoad server, RequestDemand demand) {
    return expectedFirstTokenNanos(server, server.totalWork(), demand);
  }

  private static double expectedFirstTokenNanos(
      ServerLoad server, OutstandingWork work, RequestDemand demand) {
    double batch = 1 + BATCH_SLOWDOWN * work.requests() / server.slots();
    return server.nanosPerPrefillToken()
        * (work.pendingPrefillTokens() + demand.promptTokens())
        * batch;
  }

  @Override
  public double fixedCost(ServerLoad server, long nowNanos) {
    double penalty = server.dataCentre().equals(dataCentre) ? 0 : REMOTE_DATA_CENTRE_PENALTY_NANOS;
    penalty += server.health().failureRate() * firstTokenLimitNanos;
    if (server.warmingUp(nowNanos)) {
      penalty += firstTokenLimitNanos / 4.0;
    }
    return penalty;
  }
}
