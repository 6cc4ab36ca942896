package org.basilport.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.basilport.policy.WorkItem;

/**
 * Generates the arrivals of a workload as a Poisson process. The arrivals depend only on the seed,
 * so that all policies are compared on the same requests.
 */
final class ArrivalGenerator {
  static final int WORKSPACES = 10;
  static final int INSTANCES = 6;
  static final int DATA_CENTRES = 3;

  /** Index of the workspace that exceeds its share in workloads with a greedy workspace. */
  static final int GREEDY_WORKSPACE = 4;

  private static final int PREFIX_CONTEXTS = 4;
  private static final int COST_SAMPLES = 100_000;
  private static final double SHIFTED_FIRST_ROUTE_FACTOR = 1.6;
  private static final double SHIFTED_LOAD_FACTOR = 1.5;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Relative traffic of the workspaces; a few of them send most of the requests. */
  private static final double[] TRAFFIC_WEIGHTS = {5, 3, 2, 1, 1, 1, 1, 1, 1, 1};

  /** Factor of each workspace on the output length. */
  private static final double[] LENGTH_FACTORS = {1, 1.6, 0.6, 1, 2, 0.5, 1.3, 0.8, 1, 0.7};

  private final Deployment deployment;
  private final Workload workload;
  private final EngineSettings engine;
  private final SplittableRandom random;

  ArrivalGenerator(Deployment deployment, Workload workload, EngineSettings engine, long seed) {
    this.deployment = deployment;
    this.workload = workload;
    this.engine = engine;
    this.random = new SplittableRandom(seed);
  }

  /** Returns the configured weight of each workspace, which equals its usual traffic. */
  static double[] weights() {
    return TRAFFIC_WEIGHTS.clone();
  }

  /** Returns the arrivals of a run, ordered by time. */
  List<Arrival> generate(long durationNanos) {
    double baseRate = workload.load() / costPerRequest();
    double extraShare = greedyShare() * (workload.greedyFactor() - 1);
    SplittableRandom times = random.split();
    SplittableRandom contents = random.split();
    SplittableRandom greedyTimes = random.split();
    SplittableRandom greedyContents = random.split();
    List<Arrival> arrivals = new ArrayList<>();
    generate(arrivals, baseRate, durationNanos, times, contents, null);
    if (extraShare > 0) {
      generate(
          arrivals,
          baseRate * extraShare,
          durationNanos,
          greedyTimes,
          greedyContents,
          GREEDY_WORKSPACE);
    }
    arrivals.sort((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
    return arrivals;
  }

  private void generate(
      List<Arrival> arrivals,
      double rate,
      long durationNanos,
      SplittableRandom times,
      SplittableRandom contents,
      Integer workspace) {
    double now = 0;
    while (true) {
      boolean shifted = workload.loadShift() && now > durationNanos / 2.0;
      double current = shifted ? rate * SHIFTED_LOAD_FACTOR : rate;
      now += -Math.log(1 - times.nextDouble()) / current * NANOS_PER_SECOND;
      if (now >= durationNanos) {
        return;
      }
      int sampled = workspace == null ? sampleIndex(TRAFFIC_WEIGHTS, contents) : workspace;
      String id = "r" + arrivals.size();
      arrivals.add(createArrival(id, (long) now, sampled, shifted, contents));
    }
  }

  private Arrival createArrival(
      String id, long atNanos, int workspace, boolean shifted, SplittableRandom contents) {
    Route route = sampleRoute(shifted, contents);
    int context = contents.nextInt(PREFIX_CONTEXTS);
    int dataCentre = contents.nextInt(DATA_CENTRES);
    long length = route.sampleOutputTokens(contents, LENGTH_FACTORS[workspace]);
    long prompt = route.samplePromptTokens(contents);
    long hash = (workspace * 31L + route.name().hashCode()) * 31 + context;
    int instancesPerDataCentre = INSTANCES / DATA_CENTRES;
    int positionInDataCentre =
        Math.floorMod(hashBits(hash - context + dataCentre), instancesPerDataCentre);
    WorkItem item =
        new WorkItem(
            id,
            "w" + workspace,
            route.name(),
            deployment.service(),
            route.generationClass(),
            prompt,
            route.maxTokens(),
            hash,
            1);
    return new Arrival(
        atNanos,
        dataCentre * instancesPerDataCentre + positionInDataCentre,
        workspace,
        item,
        route.prefixTokens(),
        length);
  }

  private Route sampleRoute(boolean shifted, SplittableRandom contents) {
    Route first = deployment.routes().get(0);
    double share = first.share() * (shifted ? SHIFTED_FIRST_ROUTE_FACTOR : 1);
    return contents.nextDouble() < share ? first : deployment.routes().get(1);
  }

  /**
   * Returns the average memory demand of a request: the time for which it would occupy the whole
   * memory of all replicas, in seconds.
   */
  private double costPerRequest() {
    SplittableRandom samples = new SplittableRandom(1);
    double sum = 0;
    double totalTokenSteps = 0;
    double steps = 0;
    for (int i = 0; i < COST_SAMPLES; i++) {
      int workspace = sampleIndex(TRAFFIC_WEIGHTS, samples);
      Route route = sampleRoute(false, samples);
      double length = route.sampleOutputTokens(samples, LENGTH_FACTORS[workspace]);
      double heldTokenSteps = length * (route.samplePromptTokens(samples) + length / 2);
      totalTokenSteps += heldTokenSteps;
      steps += length;
      sum += heldTokenSteps;
    }
    double sequences = engine.capacityTokens() / (totalTokenSteps / steps);
    double stepSeconds =
        engine.stepNanos((int) sequences, engine.capacityTokens(), 0) / NANOS_PER_SECOND;
    double memoryTokens = (double) engine.capacityTokens() * deployment.replicas();
    return sum / COST_SAMPLES * stepSeconds / memoryTokens;
  }

  private static double greedyShare() {
    double sum = 0;
    for (double traffic : TRAFFIC_WEIGHTS) {
      sum += traffic;
    }
    return TRAFFIC_WEIGHTS[GREEDY_WORKSPACE] / sum;
  }

  private static int sampleIndex(double[] weights, SplittableRandom source) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double sampled = source.nextDouble() * sum;
    int index = 0;
    while (index < weights.length - 1 && sampled >= weights[index]) {
      sampled -= weights[index];
      index++;
    }
    return index;
  }

  private static int hashBits(long value) {
    long mixed = (value ^ (value >>> 31)) * 0x9E3779B97F4A7C15L;
    return (int) (mixed >>> 33);
  }
}
