package org.basilport.standin.engine;

import java.time.Duration;
import java.util.List;

/**
 * Fixed properties of a simulated engine.
 *
 * @param capacityTokens size of the key-value memory, in tokens
 * @param maxBatch largest number of generations that run at once
 * @param baseStep time of a step of an empty batch
 * @param stepPerSequence time that each running generation adds to a step
 * @param stepPerPrefillToken time that each prompt token adds to the step that computes it
 * @param prefillTokensPerStep largest number of prompt tokens that one step computes
 * @param prefixCacheTokens size of the cache of prompt prefixes, in tokens
 * @param networkLatency one-way latency of requests, answers and frames
 * @param reportLag age of the load that a report shows
 * @param retention how long an ended generation can still be read
 * @param modelLoadTime time to load models after an order
 * @param enforcesFencing whether orders with an old fencing token are refused
 * @param refusesWhenLeaving whether new generations are refused while the engine is leaving
 * @param medianLength median number of output tokens
 * @param lengthSigma standard deviation of the logarithm of the output length
 * @param models models that are loaded after a start
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

  /** Settings of an engine of ordinary size. */
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

  /** The same settings with another size of the key-value memory. */
  public EngineSettings withCapacityTokens(long tokens) {
    return copy(tokens, reportLag, enforcesFencing, refusesWhenLeaving);
  }

  /** The same settings with another lag of reports. */
  public EngineSettings withReportLag(Duration lag) {
    return copy(capacityTokens, lag, enforcesFencing, refusesWhenLeaving);
  }

  /** The same settings with fencing tokens enforced or ignored. */
  public EngineSettings withFencing(boolean enforced) {
    return copy(capacityTokens, reportLag, enforced, refusesWhenLeaving);
  }

  /** The same settings with new generations refused or accepted while the engine is leaving. */
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
