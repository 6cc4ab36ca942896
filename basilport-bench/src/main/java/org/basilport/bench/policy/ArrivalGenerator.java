package org.basilport.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.basilport.policy.WorkItem;

/** Draws the arrivals of a workload from a seed; all policies see the same arrivals. */
final class ArrivalGenerator {
  static final int WORKSPACES = 10;
  static final int INSTANCES = 6;
  static final int DATA_CENTRES = 3;

  /** The workspace that sends more than its share when a workload has a greedy one. */
  static final int GREEDY = 4;

  private static final int CONTEXTS = 4;
  private static final int SAMPLES = 100_000;
  private static final double TERM_LONG_FACTOR = 1.6;
  private static final double TERM_LOAD_FACTOR = 1.5;
  private static final double NANOS = 1e9;

  /** Traffic of the workspaces: a few of them are large. */
  private static final double[] TRAFFIC = {5, 3, 2, 1, 1, 1, 1, 1, 1, 1};

  /** Factor on output lengths, which differ between workspaces. */
  private static final double[] LENGTH_SCALE = {1, 1.6, 0.6, 1, 2, 0.5, 1.3, 0.8, 1, 0.7};

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

  /** Returns the contracted weight of each workspace, which is its usual traffic. */
  static double[] weights() {
    return TRAFFIC.clone();
  }

  /** Returns the arrivals within a duration, in order. */
  List<Arrival> draw(long durationNanos) {
    double base = workload.load() / costPerRequest();
    double extra = greedyShare() * (workload.greedyFactor() - 1);
    SplittableRandom times = random.split();
    SplittableRandom contents = random.split();
    SplittableRandom greedyTimes = random.split();
    SplittableRandom greedyContents = random.split();
    List<Arrival> arrivals = new ArrayList<>();
    draw(arrivals, base, durationNanos, times, contents, null);
    if (extra > 0) {
      draw(arrivals, base * extra, durationNanos, greedyTimes, greedyContents, GREEDY);
    }
    arrivals.sort((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
    return arrivals;
  }

  private void draw(
      List<Arrival> arrivals,
      double rate,
      long durationNanos,
      SplittableRandom times,
      SplittableRandom contents,
      Integer workspace) {
    double now = 0;
    while (true) {
      boolean shifted = workload.termStart() && now > durationNanos / 2.0;
      double current = shifted ? rate * TERM_LOAD_FACTOR : rate;
      now += -Math.log(1 - times.nextDouble()) / current * NANOS;
      if (now >= durationNanos) {
        return;
      }
      int drawn = workspace == null ? pick(TRAFFIC, contents) : workspace;
      String id = "r" + arrivals.size();
      arrivals.add(arrival(id, (long) now, drawn, shifted, contents));
    }
  }

  private Arrival arrival(
      String id, long atNanos, int workspace, boolean shifted, SplittableRandom contents) {
    Route route = route(shifted, contents);
    int context = contents.nextInt(CONTEXTS);
    int dataCentre = contents.nextInt(DATA_CENTRES);
    long length = route.length(contents, LENGTH_SCALE[workspace]);
    long prompt = route.prompt(contents);
    long hash = (workspace * 31L + route.name().hashCode()) * 31 + context;
    int perCentre = INSTANCES / DATA_CENTRES;
    int within = Math.floorMod(mix(hash - context + dataCentre), perCentre);
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
        atNanos, dataCentre * perCentre + within, workspace, item, route.prefixTokens(), length);
  }

  private Route route(boolean shifted, SplittableRandom contents) {
    Route first = deployment.routes().get(0);
    double share = first.share() * (shifted ? TERM_LONG_FACTOR : 1);
    return contents.nextDouble() < share ? first : deployment.routes().get(1);
  }

  /** Returns the share of one replica-second of all memory that a request costs on average. */
  private double costPerRequest() {
    SplittableRandom samples = new SplittableRandom(1);
    double sum = 0;
    double heldTime = 0;
    double steps = 0;
    for (int i = 0; i < SAMPLES; i++) {
      int workspace = pick(TRAFFIC, samples);
      Route route = route(false, samples);
      double length = route.length(samples, LENGTH_SCALE[workspace]);
      double held = length * (route.prompt(samples) + length / 2);
      heldTime += held;
      steps += length;
      sum += held;
    }
    double sequences = engine.capacityTokens() / (heldTime / steps);
    double step = engine.stepNanos((int) sequences, engine.capacityTokens(), 0) / NANOS;
    double memory = (double) engine.capacityTokens() * deployment.replicas();
    return sum / SAMPLES * step / memory;
  }

  private static double greedyShare() {
    double sum = 0;
    for (double traffic : TRAFFIC) {
      sum += traffic;
    }
    return TRAFFIC[GREEDY] / sum;
  }

  private static int pick(double[] weights, SplittableRandom source) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double drawn = source.nextDouble() * sum;
    int index = 0;
    while (index < weights.length - 1 && drawn >= weights[index]) {
      drawn -= weights[index];
      index++;
    }
    return index;
  }

  private static int mix(long value) {
    long mixed = (value ^ (value >>> 31)) * 0x9E3779B97F4A7C15L;
    return (int) (mixed >>> 33);
  }
}
