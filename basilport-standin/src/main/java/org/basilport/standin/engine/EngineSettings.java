package org.basilport.standin.engine;

import java.time.Duration;
import java.util.List;

/**
 * Settings of a simulated engine.
 *
 * @param capacityTokens size of the key-value memory, in tokens
 * @param maxBatch maximum number of concurrently running generations
 * @param baseStep step duration of an empty batch
 * @param stepPerSequence duration that each running generation adds to a step
 * @param stepPerPrefillToken duration that each prompt token adds to the step that computes it
 * @param prefillTokensPerStep maximum number of prompt tokens computed in one step
 * @param prefixCacheTokens size of the prompt prefix cache, in tokens
 * @param networkLatency one-way latency of requests, responses and frames
 * @param reportLag age of the load shown by a report
 * @param retention time for which an ended generation can still be read
 * @param modelLoadTime time to load models after an order
 * @param enforcesFencing whether orders with a stale fencing token are rejected
 * @param refusesWhenLeaving whether new generations are rejected while the engine is leaving
 * @param medianLength median number of output tokens
 * @param lengthSigma standard deviation of the natural logarithm of the output length
 * @param models models loaded at start
 */
public record EngineSettings(
    long capacityTokens,
    int maxBatch,
    Duration baseStep,
    Duration stepPerSequence,
    Duration stepPerPrefillToken,
    int prefillTokensPerStep,
    int prefixCacheTokens,
    Duration networkLatency,
    Duration reportLag,
    Duration retention,
    Duration modelLoadTime,
    boolean enforcesFencing,
    boolean refusesWhenLeaving,
    int medianLength,
    double lengthSigma,
    List<String> models) {

  /** Default settings: 60,000 tokens of key-value memory and up to 64 running generations. */
  public static EngineSettings defaults() {
    return new EngineSettings(
        60_000,
        64,
        Duration.ofMillis(18),
        Duration.ofNanos(250_000),
        Duration.ofNanos(20_000),
        2_048,
        20_000,
        Duration.ofMillis(1),
        Duration.ofSeconds(1),
        Duration.ofSeconds(60),
        Duration.ofSeconds(5),
        true,
        false,
        120,
        1.3,
        List.of("base"));
  }

  /** Returns a copy with another size of the key-value memory, in tokens. */
  public EngineSettings withCapacityTokens(long tokens) {
    return copy(tokens, reportLag, enforcesFencing, refusesWhenLeaving);
  }

  /** Returns a copy with another report lag. */
  public EngineSettings withReportLag(Duration lag) {
    return copy(capacityTokens, lag, enforcesFencing, refusesWhenLeaving);
  }

  /** Returns a copy that enforces or ignores fencing tokens. */
  public EngineSettings withFencing(boolean enforced) {
    return copy(capacityTokens, reportLag, enforced, refusesWhenLeaving);
  }

  /** Returns a copy that rejects or accepts new generations while the engine is leaving. */
  public EngineSettings withRefusalWhenLeaving(boolean refuses) {
    return copy(capacityTokens, reportLag, enforcesFencing, refuses);
  }

  private EngineSettings copy(long capacity, Duration lag, boolean fencing, boolean refuses) {
    return new EngineSettings(
        capacity,
        maxBatch,
        baseStep,
        stepPerSequence,
        stepPerPrefillToken,
        prefillTokensPerStep,
        prefixCacheTokens,
        networkLatency,
        lag,
        retention,
        modelLoadTime,
        fencing,
        refuses,
        medianLength,
        lengthSigma,
        models);
  }
}
