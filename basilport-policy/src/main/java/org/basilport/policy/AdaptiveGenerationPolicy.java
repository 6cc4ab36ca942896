package org.basilport.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import org.basilport.policy.admission.MemoryAdmission;
import org.basilport.policy.admission.MemoryForecast;
import org.basilport.policy.admission.ReplicaLedger;
import org.basilport.policy.fairness.FairQueue;
import org.basilport.policy.fairness.WorkspaceAccount;
import org.basilport.policy.length.LengthDistribution;
import org.basilport.policy.length.LengthEstimator;
import org.basilport.policy.routing.AffinitySelector;
import org.basilport.policy.routing.OutlierEjector;
import org.basilport.policy.routing.PrefixDirectory;
import org.basilport.policy.routing.ReplicaSelector;

/**
 * The shipped policy: admission by forecast memory, fairness between workspaces, choice between two
 * random replicas, and priorities that protect streamed work.
 */
public final class AdaptiveGenerationPolicy implements GenerationPolicy {
  private static final int PREFIX_LIMIT = 8_192;
  private static final long RETRY_MILLIS = 1_000;

  /** Service of a prompt token, in output tokens; prompts are computed many tokens at a time. */
  private static final double PROMPT_SERVICE = 0.1;

  /** Service of holding one token of key-value memory for a second, in output tokens. */
  private static final double MEMORY_SERVICE = 0.01;

  /** Generated tokens between two updates of a running generation's forecast. */
  private static final long FORECAST_STEP = 32;

  /** Workspaces whose next generation may wait for memory while those of others start. */
  private static final int LOOKAHEAD = 4;

  /**
   * One turn in this many, per feeding instance, may use all of a replica's free memory. More turns
   * make several instances fill the same memory at once.
   */
  private static final int TURNS_PER_DRAW = 16;

  /** Time of a decode step that is assumed when future memory use is charged, in seconds. */
  private static final double STEP_SECONDS = 0.03;

  /** Service that waiting deferred work may claim for each unit that streamed work receives. */
  private static final double DEFERRED_SHARE = 0.25;

  /** Claimed service at which deferred work goes before streamed work. */
  private static final double DEFERRED_DEBT_LIMIT = 20_000;

  /**
   * Claimed service at which no streamed work starts until deferred work has started. Going first
   * is not enough: a large deferred generation would never fit while small streamed ones refill the
   * memory.
   */
  private static final double DEFERRED_KEEP_LIMIT = 40_000;

  /**
   * Share of the replicas that is never ejected for being slow. Deferred work still uses ejected
   * replicas, since nobody reads its tokens while they are generated.
   */
  private static final double ELIGIBLE_SHARE = 0.7;

  private static final int STREAMED_PRIORITY = 100;
  private static final int LARGEST_ATTEMPT_PRIORITY = 50;
  private static final double NANOS_PER_SECOND = 1e9;

  private final LengthEstimator lengths;
  private final FairQueue queue;
  private final MemoryAdmission admission;
  private final PrefixDirectory prefixes = new PrefixDirectory(PREFIX_LIMIT);
  private final AffinitySelector selector;
  private final IntPredicate admits = this::admits;
  private final OutlierEjector ejector = new OutlierEjector(ELIGIBLE_SHARE);
  private final SplittableRandom random;
  private final Map<String, WorkItem> waiting = new HashMap<>();
  private final Map<String, RunningWork> running = new HashMap<>();
  private final List<WorkspaceAccount> skipped = new ArrayList<>();
  private final MemoryForecast candidate = new MemoryForecast();
  private List<ReplicaLedger> ledgers = List.of();
  private double deferredDebt;
  private long[] ejectedUntil = {};
  private long placedNanos;
  private boolean candidateStreamed;

  /** Creates a policy with an estimator of output lengths and a seeded random source. */
  public AdaptiveGenerationPolicy(
      PolicySettings settings, LengthEstimator lengths, SplittableRandom random) {
    this.lengths = lengths;
    this.queue = new FairQueue(settings.queueLimit(), settings.workspaceWeights());
    this.admission = new MemoryAdmission(settings.admissionRisk());
    this.random = random;
    this.selector = new AffinitySelector(prefixes, random);
  }

  private boolean admits(int position) {
    return (!candidateStreamed || ejectedUntil[position] <= placedNanos)
        && admission.admits(ledgers.get(position), candidate);
  }

  @Override
  public boolean submit(WorkItem item, long nowNanos) {
    if (!queue.add(item)) {
      return false;
    }
    waiting.put(item.requestId(), item);
    return true;
  }

  @Override
  public boolean withdraw(String requestId) {
    WorkItem item = waiting.remove(requestId);
    return item != null && queue.remove(item);
  }

  @Override
  public List<Placement> place(long nowNanos) {
    if (waiting.isEmpty() || ledgers.isEmpty()) {
      return List.of();
    }
    placedNanos = nowNanos;
    List<Placement> placements = new ArrayList<>();
    if (deferredDebt > DEFERRED_DEBT_LIMIT) {
      placeClass(GenerationClass.DEFERRED, placements, nowNanos);
    }
    boolean keepsMemory =
        deferredDebt > DEFERRED_KEEP_LIMIT && queue.waits(GenerationClass.DEFERRED);
    if (!keepsMemory) {
      placeClass(GenerationClass.STREAMED, placements, nowNanos);
      placeClass(GenerationClass.DEFERRED, placements, nowNanos);
    }
    return placements;
  }

  private void placeClass(
      GenerationClass generationClass, List<Placement> placements, long nowNanos) {
    skipped.clear();
    while (skipped.size() < LOOKAHEAD) {
      WorkItem item = queue.peek(generationClass).orElse(null);
      if (item == null) {
        break;
      }
      if (placeOne(item, placements, nowNanos)) {
        continue;
      }
      WorkItem other = queue.peekOtherRoute(generationClass).orElse(null);
      WorkspaceAccount account = queue.skip(generationClass);
      skipped.add(account);
      if (queue.bypassExhausted(account)) {
        break;
      }
      if (other != null) {
        placeOne(other, placements, nowNanos);
      }
    }
    queue.restore(generationClass, skipped);
  }

  private boolean placeOne(WorkItem item, List<Placement> placements, long nowNanos) {
    candidateStreamed = item.generationClass() == GenerationClass.STREAMED;
    LengthDistribution distribution = lengths.distribution(item);
    candidate.assign(item.promptTokens(), 0, item.maxTokens(), distribution);
    int position = selector.select(item, ledgers, admits);
    if (position == ReplicaSelector.NONE) {
      return false;
    }
    ReplicaLedger ledger = ledgers.get(position);
    waiting.remove(item.requestId());
    double service = service(item);
    queue.bypass(skipped, service);
    payClass(item.generationClass(), service);
    WorkspaceAccount account = queue.start(item, service);
    RunningWork work = new RunningWork(item, ledger, account, distribution, nowNanos);
    work.charged = service;
    work.served = PROMPT_SERVICE * item.promptTokens();
    work.forecast.add(candidate, 1);
    ledger.start(work.forecast, nowNanos);
    admission.adjustFleet(work.forecast, 1);
    running.put(item.requestId(), work);
    prefixes.add(item.prefixHash(), ledger.serverId());
    placements.add(new Placement(item, ledger.serverId(), priority(item)));
    return true;
  }

  private double service(WorkItem item) {
    return PROMPT_SERVICE * item.promptTokens()
        + candidate.tokens()
        + MEMORY_SERVICE * STEP_SECONDS * candidate.tokenSteps();
  }

  private void payClass(GenerationClass generationClass, double service) {
    if (generationClass == GenerationClass.DEFERRED) {
      deferredDebt = Math.max(0, deferredDebt - service);
    } else if (queue.waits(GenerationClass.DEFERRED)) {
      deferredDebt += DEFERRED_SHARE * service;
    }
  }

  private static int priority(WorkItem item) {
    int retried = Math.min(LARGEST_ATTEMPT_PRIORITY, item.attempt() - 1);
    return item.generationClass() == GenerationClass.STREAMED
        ? STREAMED_PRIORITY + retried
        : retried;
  }

  @Override
  public void progressed(String requestId, long generatedTokens, long nowNanos) {
    RunningWork work = running.get(requestId);
    if (work == null || generatedTokens - work.observed < FORECAST_STEP) {
      return;
    }
    charge(work, generatedTokens, nowNanos);
    work.lengths.grown(work.observed, generatedTokens);
    work.observed = generatedTokens;
    work.ledger.adjust(work.forecast, -1);
    admission.adjustFleet(work.forecast, -1);
    work.forecast.assign(
        work.item.promptTokens(), generatedTokens, work.item.maxTokens(), work.lengths);
    work.ledger.adjust(work.forecast, 1);
    admission.adjustFleet(work.forecast, 1);
  }

  private void charge(RunningWork work, long generatedTokens, long nowNanos) {
    double seconds = (nowNanos - work.lastNanos) / NANOS_PER_SECOND;
    double held = work.item.promptTokens() + generatedTokens;
    work.served += generatedTokens - work.generated + MEMORY_SERVICE * held * seconds;
    if (work.served > work.charged) {
      queue.charge(work.account, work.served - work.charged);
      work.charged = work.served;
    }
    work.generated = generatedTokens;
    work.lastNanos = nowNanos;
  }

  @Override
  public void finished(String requestId, long generatedTokens, boolean completed, long nowNanos) {
    RunningWork work = running.remove(requestId);
    if (work == null) {
      return;
    }
    charge(work, generatedTokens, nowNanos);
    queue.charge(work.account, work.served - work.charged);
    if (completed) {
      work.lengths.grown(work.observed, generatedTokens);
      work.lengths.ended(generatedTokens);
    }
    work.ledger.end(work.forecast, admission.credit(work.ledger), nowNanos);
    admission.adjustFleet(work.forecast, -1);
    queue.end(work.account);
  }

  @Override
  public void prefixCacheChanged(String serverId, long prefixHash, boolean present) {
    if (present) {
      prefixes.add(prefixHash, serverId);
    } else {
      prefixes.remove(prefixHash, serverId);
    }
  }

  @Override
  public void updateReplicas(List<ReplicaState> states, int feedingInstances, long nowNanos) {
    Map<String, ReplicaLedger> known = new HashMap<>();
    ledgers.forEach(ledger -> known.put(ledger.serverId(), ledger));
    List<ReplicaLedger> next = new ArrayList<>(states.size());
    Map<String, Integer> positions = new HashMap<>();
    long[] until = new long[states.size()];
    for (ReplicaState state : states) {
      Integer previous = selector.position(state.serverId());
      until[next.size()] = previous == null ? Long.MIN_VALUE : ejectedUntil[previous];
      positions.put(state.serverId(), next.size());
      ReplicaLedger ledger = known.remove(state.serverId());
      if (ledger == null) {
        ledger = new ReplicaLedger(state);
      }
      ledger.report(state, turn(feedingInstances), nowNanos);
      next.add(ledger);
    }
    known.keySet().forEach(prefixes::forget);
    ledgers = next;
    ejectedUntil = until;
    selector.positions(positions);
    if (!next.isEmpty()) {
      ejector.update(next, until, nowNanos);
    }
    admission.feedingInstances(feedingInstances);
  }

  private boolean turn(int feedingInstances) {
    return random.nextInt(TURNS_PER_DRAW * Math.max(1, feedingInstances)) == 0;
  }

  @Override
  public int waitingCount() {
    return queue.size();
  }

  @Override
  public long retryAfterMillis() {
    return RETRY_MILLIS;
  }
}
