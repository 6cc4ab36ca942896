package org.basilport.bench.evenness;

import java.util.SplittableRandom;
import org.basilport.policy.dispatch.EarliestFirstTokenSelector;
import org.basilport.policy.dispatch.LeastOccupiedSelector;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.RequestDemand;

/** Servers of one of the two deployments, and the requests that they process. */
enum ServerKind {
  /** 50 model engines; a generation is prefilled after those before it and then decoded. */
  ENGINE(50, 24, 27_000, 0.85),
  /** 4 application servers. */
  APPLICATION(4, 8, 0, 0.7);

  private static final double DECODE_NANOS_PER_TOKEN = 20_000_000;
  private static final int MIN_PROMPT_TOKENS = 200;
  private static final int MAX_PROMPT_TOKENS = 1_400;
  private static final int MEAN_OUTPUT_TOKENS = 200;
  private static final int MAX_OUTPUT_TOKENS = 1_000;
  private static final double MEAN_CALL_NANOS = 60_000_000;

  /** Mean of the speeds 0.7 to 1.7 (log-uniform), divided by the mean temporary slowdown. */
  private static final double MEAN_SPEED = 1.13 / 1.225;

  final int servers;
  final int slots;
  final long memoryTokens;
  private final double utilization;

  ServerKind(int servers, int slots, long memoryTokens, double utilization) {
    this.servers = servers;
    this.slots = slots;
    this.memoryTokens = memoryTokens;
    this.utilization = utilization;
  }

  /** Requests per second of the whole fleet. */
  double arrivalsPerSecond(int serverCount) {
    double meanNanos =
        this == APPLICATION
            ? MEAN_CALL_NANOS
            : MEAN_OUTPUT_TOKENS * DECODE_NANOS_PER_TOKEN
                + (MIN_PROMPT_TOKENS + MAX_PROMPT_TOKENS)
                    / 2.0
                    * EarliestFirstTokenSelector.DEFAULT_PREFILL_NANOS_PER_TOKEN;
    return utilization * MEAN_SPEED * serverCount * slots * 1e9 / meanNanos;
  }

  /** Draws the next request. */
  SimulatedRequest draw(int instance, SplittableRandom random) {
    double exponential = -Math.log(1 - random.nextDouble());
    if (this == APPLICATION) {
      return new SimulatedRequest(
          instance, RequestDemand.SERVICE_CALL, 0, exponential * MEAN_CALL_NANOS);
    }
    int prompt = random.nextInt(MIN_PROMPT_TOKENS, MAX_PROMPT_TOKENS + 1);
    int output = (int) Math.min(MAX_OUTPUT_TOKENS, 1 + exponential * MEAN_OUTPUT_TOKENS);
    return new SimulatedRequest(
        instance,
        RequestDemand.generation(prompt, output),
        prompt * EarliestFirstTokenSelector.DEFAULT_PREFILL_NANOS_PER_TOKEN,
        output * DECODE_NANOS_PER_TOKEN);
  }

  /** The present selector of engines, which also gives the bounds and costs of the others. */
  EarliestFirstTokenSelector engineSelector(SplittableRandom random) {
    return new EarliestFirstTokenSelector(
        "a", EarliestFirstTokenSelector.FIRST_TOKEN_LIMIT_NANOS, random);
  }

  LeastOccupiedSelector applicationSelector(SplittableRandom random) {
    return new LeastOccupiedSelector("a", random);
  }

  /** Whether a server with the given work could begin another request at once. */
  boolean hasRoom(OutstandingWork work) {
    return work.requests() < slots
        && (this == APPLICATION
            || work.memoryTokens() + MAX_PROMPT_TOKENS + MEAN_OUTPUT_TOKENS
                <= EarliestFirstTokenSelector.USABLE_MEMORY_SHARE * memoryTokens);
  }
}
