package org.basilport.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import org.basilport.policy.admission.MemoryAdmission;
import org.basilport.policy.admission.MemoryForecast;
import org.basilport.policy.admission.ReplicaMemoryTracker;
import org.basilport.policy.fairness.FairQueue;
import org.basilport.policy.fairness.WorkspaceAccount;
import org.basilport.policy.length.LengthDistribution;
import org.basilport.policy.length.LengthEstimator;
import org.basilport.policy.routing.OutlierEjector;
import org.basilport.policy.routing.PrefixAffinitySelector;
import org.basilport.policy.routing.PrefixDirectory;
import org.basilport.policy.routing.ReplicaSelector;

/**
 * The default policy: admission by forecast memory, weighted fairness between workspaces, choice
 * between two random replicas, and priorities that favour streamed generations.
 */
public final class AdaptiveGenerationPolicy implements GenerationPolicy {
  private static final int MAX_TRACKED_PREFIXES = 8_192;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /**
   * Service charged per prompt token, in output tokens. It is below 1 because prefill computes many
   * prompt tokens in one step.
   */
  private static final double SERVICE_PER_PROMPT_TOKEN = 0.1;

  /** Service charged for holding one token of key-value memory for one second, in output tokens. */
  private static final double SERVICE_PER_TOKEN_SECOND = 0.01;

  /** Generated tokens between two updates of the forecast of a running generation. */
  private static final long FORECAST_UPDATE_TOKENS = 32;

  /**
   * Largest number of workspaces that are skipped in a round because their next generation does not
   * fit.
   */
  private static final int MAX_SKIPPED_WORKSPACES = 4;

  /**
   * An instance may use all free memory of a replica in one of this many grant periods times the
   * number of placing instances, drawn at random. With a smaller number several instances often
   * fill the same memory at the same time.
   */
  private static final int PERIODS_PER_FULL_GRANT = 16;

  /**
   * Assumed duration of a decode step when the expected memory use of a generation is charged, in
   * seconds.
   */
  private static final double ASSUMED_STEP_SECONDS = 0.03;

  /**
   * Service that queued deferred generations are owed per unit of service given to streamed ones.
   */
  private static final double DEFERRED_SERVICE_SHARE = 0.25;

  /**
   * Service owed to deferred generations, in output tokens, above which they are placed before
   * streamed ones.
   */
  private static final double DEFERRED_FIRST_DEFICIT = 20_000;

  /**
   * Service owed to deferred generations, in output tokens, above which no streamed generation
   * starts until a deferred one has started. Order alone is not enough: small streamed generations
   * refill the memory before a large deferred one fits.
   */
  private static final double DEFERRED_ONLY_DEFICIT = 40_000;

  /**
   * Share of the replicas that is never ejected for slow decoding. Deferred generations still use
   * ejected replicas, because no caller reads their tokens as they are generated.
   */
  private static final double MIN_ELIGIBLE_SHARE = 0.7;

  private static final int STREAMED_PRIORITY = 100;
  private static final int MAX_RETRY_PRIORITY = 50;
  private static final double NANOS_PER_SECOND = 1e9;

  private final LengthEstimator lengthEstimator;
  private final FairQueue queue;
  private final MemoryAdmission admission;
  private final PrefixDirectory prefixDirectory = new PrefixDirectory(MAX_TRACKED_PREFIXES);
  private final PrefixAffinitySelector selector;
  private final IntPredicate admits = this::admits;
  private final OutlierEjector ejector = new OutlierEjector(MIN_ELIGIBLE_SHARE);
  private final SplittableRandom random;
  private final Map<String, WorkItem> queued = new HashMap<>();
  private final Map<String, RunningWork> running = new HashMap<>();
  private final List<WorkspaceAccount> skippedAccounts = new ArrayList<>();
  private final MemoryForecast candidateForecast = new MemoryForecast();
  private List<ReplicaMemoryTracker> replicas = List.of();

  /** Service owed to queued deferred generations, in output tokens. */
  private double deferredDeficit;

  private long[] ejectedUntil = {};

  /** Time of the current call of {@link #place}, for {@link #admits}. */
  private long placementNanos;

  /** Whether the generation that is being placed is streamed, for {@link #admits}. */
  private boolean candidateStreamed;

  /** Creates a policy with an estimator of output lengths and a seeded random source. */
  public AdaptiveGenerationPolicy(
      PolicySettings settings, LengthEstimator lengthEstimator, SplittableRandom random) {
    this.lengthEstimator = lengthEstimator;
    this.queue = new FairQueue(settings.queueLimit(), settings.workspaceWeights());
    this.admission = new MemoryAdmission(settings.admissionRisk());
    this.random = random;
    this.selector = new PrefixAffinitySelector(prefixDirectory, random);
  }

  private boolean admits(int position) {
    return (!candidateStreamed || ejectedUntil[position] <= placementNanos)
        && admission.admits(replicas.get(position), candidateForecast);
  }

  @Override
  public boolean submit(WorkItem item, long nowNanos) {
    if (!queue.add(item)) {
      return false;
    }
    queued.put(item.requestId(), item);
    return true;
  }

  @Override
  public boolean withdraw(String requestId) {
    WorkItem item = queued.remove(requestId);
    return item != null && queue.remove(item);
  }

  @Override
  public List<Placement> place(long nowNanos) {
    if (queued.isEmpty() || replicas.isEmpty()) {
      return List.of();
    }
    placementNanos = nowNanos;
    List<Placement> placements = new ArrayList<>();
    if (deferredDeficit > DEFERRED_FIRST_DEFICIT) {
      placeClass(GenerationClass.DEFERRED, placements, nowNanos);
    }
    boolean deferredOnly =
        deferredDeficit > DEFERRED_ONLY_DEFICIT && queue.hasWaiting(GenerationClass.DEFERRED);
    if (!deferredOnly) {
      placeClass(GenerationClass.STREAMED, placements, nowNanos);
      placeClass(GenerationClass.DEFERRED, placements, nowNanos);
    }
    return placements;
  }

  private void placeClass(
      GenerationClass generationClass, List<Placement> placements, long nowNanos) {
    skippedAccounts.clear();
    while (skippedAccounts.size() < MAX_SKIPPED_WORKSPACES) {
      WorkItem item = queue.peek(generationClass).orElse(null);
      if (item == null) {
        break;
      }
      if (tryPlace(item, placements, nowNanos)) {
        continue;
      }
      WorkItem otherRoute = queue.peekOtherRoute(generationClass).orElse(null);
      WorkspaceAccount account = queue.skip(generationClass);
      skippedAccounts.add(account);
      if (queue.bypassLimitReached(account)) {
        break;
      }
      if (otherRoute != null) {
        tryPlace(otherRoute, placements, nowNanos);
      }
    }
    queue.restore(generationClass, skippedAccounts);
  }

  private boolean tryPlace(WorkItem item, List<Placement> placements, long nowNanos) {
    candidateStreamed = item.generationClass() == GenerationClass.STREAMED;
    LengthDistribution lengthDistribution = lengthEstimator.distribution(item);
    candidateForecast.assign(item.promptTokens(), 0, item.maxTokens(), lengthDistribution);
    int position = selector.select(item, replicas, admits);
    if (position == ReplicaSelector.NONE) {
      return false;
    }
    ReplicaMemoryTracker replica = replicas.get(position);
    queued.remove(item.requestId());
    double service = expectedService(item);
    queue.recordBypass(skippedAccounts, service);
    updateDeferredDeficit(item.generationClass(), service);
    WorkspaceAccount account = queue.recordStart(item, service);
    RunningWork work = new RunningWork(item, replica, account, lengthDistribution, nowNanos);
    work.chargedService = service;
    work.actualService = SERVICE_PER_PROMPT_TOKEN * item.promptTokens();
    work.forecast.add(candidateForecast, 1);
    replica.recordStart(work.forecast, nowNanos);
    admission.adjustOwnTotal(work.forecast, 1);
    running.put(item.requestId(), work);
    prefixDirectory.add(item.prefixHash(), replica.serverId());
    placements.add(new Placement(item, replica.serverId(), priority(item)));
    return true;
  }

  private double expectedService(WorkItem item) {
    return SERVICE_PER_PROMPT_TOKEN * item.promptTokens()
        + candidateForecast.expectedTokens()
        + SERVICE_PER_TOKEN_SECOND * ASSUMED_STEP_SECONDS * candidateForecast.expectedTokenSteps();
  }

  private void updateDeferredDeficit(GenerationClass generationClass, double service) {
    if (generationClass == GenerationClass.DEFERRED) {
      deferredDeficit = Math.max(0, deferredDeficit - service);
    } else if (queue.hasWaiting(GenerationClass.DEFERRED)) {
      deferredDeficit += DEFERRED_SERVICE_SHARE * service;
    }
  }

  private static int priority(WorkItem item) {
    int retryPriority = Math.min(MAX_RETRY_PRIORITY, item.attempt() - 1);
    return item.generationClass() == GenerationClass.STREAMED
        ? STREAMED_PRIORITY + retryPriority
        : retryPriority;
  }

  @Override
  public void progressed(String requestId, long generatedTokens, long nowNanos) {
    RunningWork work = running.get(requestId);
    if (work == null || generatedTokens - work.observedTokens < FORECAST_UPDATE_TOKENS) {
      return;
    }
    charge(work, generatedTokens, nowNanos);
    work.lengthDistribution.recordGrowth(work.observedTokens, generatedTokens);
    work.observedTokens = generatedTokens;
    work.replica.adjustForecast(work.forecast, -1);
    admission.adjustOwnTotal(work.forecast, -1);
    work.forecast.assign(
        work.item.promptTokens(), generatedTokens, work.item.maxTokens(), work.lengthDistribution);
    work.replica.adjustForecast(work.forecast, 1);
    admission.adjustOwnTotal(work.forecast, 1);
  }

  private void charge(RunningWork work, long generatedTokens, long nowNanos) {
    double seconds = (nowNanos - work.chargedAtNanos) / NANOS_PER_SECOND;
    double heldTokens = work.item.promptTokens() + generatedTokens;
    work.actualService +=
        generatedTokens - work.generatedTokens + SERVICE_PER_TOKEN_SECOND * heldTokens * seconds;
    if (work.actualService > work.chargedService) {
      queue.charge(work.account, work.actualService - work.chargedService);
      work.chargedService = work.actualService;
    }
    work.generatedTokens = generatedTokens;
    work.chargedAtNanos = nowNanos;
  }

  @Override
  public void finished(String requestId, long generatedTokens, boolean completed, long nowNanos) {
    RunningWork work = running.remove(requestId);
    if (work == null) {
      return;
    }
    charge(work, generatedTokens, nowNanos);
    queue.charge(work.account, work.actualService - work.chargedService);
    if (completed) {
      work.lengthDistribution.recordGrowth(work.observedTokens, generatedTokens);
      work.lengthDistribution.recordEnd(generatedTokens);
    }
    work.replica.recordEnd(work.forecast, admission.reusableShare(work.replica), nowNanos);
    admission.adjustOwnTotal(work.forecast, -1);
    queue.recordEnd(work.account);
  }

  @Override
  public void prefixCacheChanged(String serverId, long prefixHash, boolean present) {
    if (present) {
      prefixDirectory.add(prefixHash, serverId);
    } else {
      prefixDirectory.remove(prefixHash, serverId);
    }
  }

  @Override
  public void updateReplicas(List<ReplicaState> states, int placingInstances, long nowNanos) {
    Map<String, ReplicaMemoryTracker> known = new HashMap<>();
    replicas.forEach(replica -> known.put(replica.serverId(), replica));
    List<ReplicaMemoryTracker> next = new ArrayList<>(states.size());
    Map<String, Integer> positions = new HashMap<>();
    long[] ejectionEnds = new long[states.size()];
    for (ReplicaState state : states) {
      Integer previous = selector.position(state.serverId());
      ejectionEnds[next.size()] = previous == null ? Long.MIN_VALUE : ejectedUntil[previous];
      positions.put(state.serverId(), next.size());
      ReplicaMemoryTracker replica = known.remove(state.serverId());
      if (replica == null) {
        replica = new ReplicaMemoryTracker(state);
      }
      replica.update(state, drawFullGrant(placingInstances), nowNanos);
      next.add(replica);
    }
    known.keySet().forEach(prefixDirectory::removeReplica);
    replicas = next;
    ejectedUntil = ejectionEnds;
    selector.positions(positions);
    if (!next.isEmpty()) {
      ejector.update(next, ejectionEnds, nowNanos);
    }
    admission.placingInstances(placingInstances);
  }

  private boolean drawFullGrant(int placingInstances) {
    return random.nextInt(PERIODS_PER_FULL_GRANT * Math.max(1, placingInstances)) == 0;
  }

  @Override
  public int queuedCount() {
    return queue.size();
  }

  @Override
  public long retryAfterMillis() {
    return RETRY_AFTER_MILLIS;
  }
}
