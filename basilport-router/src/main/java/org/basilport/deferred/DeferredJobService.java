package org.basilport.deferred;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.basilport.claim.GroupCommit;
import org.basilport.claim.SlotSweeper;
import org.basilport.delivery.GenerationHandle;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.event.Invariant;
import org.basilport.membership.Member;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/**
 * Accepts jobs, runs those of the shards that this instance owns, and returns their results.
 *
 * <p>An owner that is replaced while it runs a job only wastes engine time: the result object is
 * created once, and the first complete generation wins.
 */
public final class DeferredJobService implements JobRun.Owner {
  /** Largest result, in bytes of UTF-8. */
  static final int MAX_RESULT_BYTES = 900_000;

  // Longer than the text of nearly all tokens, so that an accepted job fits its result object.
  private static final int BYTES_PER_TOKEN = 16;
  private static final Duration PATIENCE = Duration.ofSeconds(3);
  private static final Duration TICK = Duration.ofSeconds(2);
  private static final Duration LEASE = Duration.ofSeconds(15);
  private static final Duration RESULTS_KEPT = Duration.ofDays(7);
  private static final int MAX_RUNNING_PER_SHARD = 8;
  private static final int MAX_RUNS = 5;
  private static final int REMEMBERED_RESULTS = 1_000;

  private final ObjectStore store;
  private final Scheduler control;
  private final EventSink events;
  private final MembershipView membership;
  private final JobLauncher starter;
  private final Supplier<String> requestIds;
  private final String self;
  private final JobIds ids;
  private final GroupCommit<JobShard> commits;
  private final ResultWriter results;
  private final Map<String, GenerationHandle> running = new HashMap<>();
  private final Map<String, Integer> failedRuns = new HashMap<>();
  private final Set<String> triedTokens = new HashSet<>();
  private final Set<Integer> owned = new HashSet<>();
  private final Map<String, Integer> collected =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
          return size() > REMEMBERED_RESULTS;
        }
      };
  private final SlotSweeper resultSweeper;
  private Cancellable ticks = () -> {};
  private boolean draining;

  /**
   * Creates a component that does nothing until its start.
   *
   * @param owner id and incarnation of this instance
   * @param clusterKey binds job ids to workspaces
   * @param requestIds gives ids that are unique over all instances
   */
  public DeferredJobService(
      ObjectStore store,
      Scheduler control,
      EventSink events,
      MembershipView membership,
      JobLauncher starter,
      String owner,
      String clusterKey,
      Supplier<String> requestIds,
      SplittableRandom random) {
    this.store = store;
    this.control = control;
    this.events = events;
    this.membership = membership;
    this.starter = starter;
    this.requestIds = requestIds;
    this.self = owner;
    this.ids = new JobIds(clusterKey);
    this.commits =
        new GroupCommit<>(store, control, JobShard.CODEC, events, PATIENCE, random.split());
    this.results = new ResultWriter(store, control, random.split());
    this.resultSweeper =
        new SlotSweeper(
            store,
            control,
            membership,
            "results",
            JobIds.SLOT,
            RESULTS_KEPT,
            DeferredJobService::resultPrefixes,
            object -> store.delete(object.name(), object.version()));
  }

  /** Starts to look for jobs. */
  public void start() {
    ticks = control.scheduleRepeating(TICK, this::tick);
    resultSweeper.start();
  }

  /** Starts no more jobs, and keeps the shards of those that run until they end. */
  public void drain() {
    control.execute(
        () -> {
          draining = true;
          IntStream.range(0, JobIds.SHARDS).forEach(this::giveUpIfIdle);
        });
  }

  /** Whether no job runs and none is being handed over; call on the control scheduler. */
  public boolean idle() {
    return running.isEmpty();
  }

  /** Stops; jobs that still run are found by the next owner. */
  public void stop() {
    control.execute(
        () -> {
          draining = true;
          ticks.cancel();
          resultSweeper.stop();
        });
  }

  /** Records a job and returns its id. */
  public CompletableFuture<String> submit(
      String workspace, String route, String prompt, int maxTokens) {
    if ((long) maxTokens * BYTES_PER_TOKEN > MAX_RESULT_BYTES) {
      return CompletableFuture.failedFuture(
          new RejectedException(
              FailureCode.TOO_LARGE,
              Step.ADMIT,
              "a deferred result has at most " + MAX_RESULT_BYTES / BYTES_PER_TOKEN + " tokens"));
    }
    String id = ids.create(requestIds.get(), workspace, control.now());
    JobRecord job = new JobRecord(id, workspace, route, prompt, maxTokens, "");
    return commits
        .apply(shardName(ids.shard(id, workspace).getAsInt()), shard -> accept(shard, job))
        .thenApply(
            accepted -> {
              if (!accepted) {
                throw new RejectedException(
                    FailureCode.QUEUE_FULL, Step.STORE, TICK, "the job shard is full");
              }
              record(EventType.JOB_ACCEPTED, job, id);
              return id;
            });
  }

  /** Returns a job with its result, or fails with NOT_FOUND also for another workspace's job. */
  public CompletableFuture<DeferredJob> collect(String workspace, String jobId) {
    OptionalInt shard = ids.shard(jobId, workspace);
    if (shard.isEmpty()) {
      return CompletableFuture.failedFuture(notFound());
    }
    return readResult(workspace, jobId)
        .thenCompose(
            found -> {
              if (found.isPresent()) {
                return CompletableFuture.completedFuture(found.get());
              }
              return readOpen(shard.getAsInt(), workspace, jobId);
            });
  }

  @Override
  public void complete(JobRecord job, String text, long tokens) {
    record(EventType.JOB_FINISHED, job, job.id(), tokens);
    store(job, new JobResult(true, text));
  }

  @Override
  public void failed(JobRecord job, BasilportException failure) {
    // Runs that were refused before an engine had them do not count against the job.
    int counted = failure.outcome() == Outcome.NOT_RUN ? 0 : 1;
    int runs = failedRuns.merge(job.id(), counted, Integer::sum);
    boolean permanent = isPermanent(failure) || runs >= MAX_RUNS;
    if (permanent) {
      store(job, new JobResult(false, failure.getMessage()));
    } else {
      interrupted(job);
    }
  }

  @Override
  public void interrupted(JobRecord job) {
    record(EventType.JOB_RETRIED, job, job.id(), "its run ended early");
    ended(job);
  }

  @Override
  public void handedOver(JobRecord job, String resumeToken) {
    record(EventType.JOB_RETRIED, job, job.id(), "its owner leaves and hands it over");
    commits
        .apply(shardOf(job), shard -> update(shard, job.withResumeToken(resumeToken)))
        .whenComplete((updated, failure) -> control.execute(() -> ended(job)));
  }

  private static GroupCommit.Applied<Boolean> update(JobShard shard, JobRecord job) {
    boolean open = shard.find(job.id()).isPresent();
    boolean changed = open && !shard.find(job.id()).get().equals(job);
    if (changed) {
      shard.put(job);
    }
    return new GroupCommit.Applied<>(open, changed);
  }

  private void ended(JobRecord job) {
    running.remove(job.id());
    if (draining) {
      giveUpIfIdle(ids.shard(job.id(), job.workspace()).getAsInt());
    }
  }

  /** Lets another instance own the shard at once instead of after the end of the lease. */
  private void giveUpIfIdle(int shard) {
    if (!hasRuns(shard) && owned.remove(shard)) {
      commits.apply(
          shardName(shard),
          state -> {
            boolean mine = state.owner().equals(self);
            if (mine) {
              state.own("", 0);
            }
            return new GroupCommit.Applied<>(mine, mine);
          });
    }
  }

  private static boolean isPermanent(BasilportException failure) {
    return switch (failure.code()) {
      case QUARANTINED -> failure.retryAfter().isEmpty();
      case UNKNOWN_ROUTE, MALFORMED, TOO_LARGE -> true;
      default -> false;
    };
  }

  private static GroupCommit.Applied<Boolean> accept(JobShard shard, JobRecord job) {
    if (shard.find(job.id()).isPresent()) {
      return new GroupCommit.Applied<>(true, false);
    }
    if (!shard.hasRoomFor(job)) {
      return new GroupCommit.Applied<>(false, false);
    }
    shard.put(job);
    return new GroupCommit.Applied<>(true, true);
  }

  private void tick() {
    for (int shard = 0; shard < JobIds.SHARDS; shard++) {
      String name = shardName(shard);
      boolean mine = !draining && membership.owner(name).map(Member::id).equals(selfId());
      boolean busy = hasRuns(shard);
      if (mine || busy) {
        int number = shard;
        commits
            .applyToLatest(name, this::own)
            .thenAccept(jobs -> control.execute(() -> run(number, jobs, mine)));
      }
    }
  }

  private Optional<String> selfId() {
    return Optional.of(membership.self().id());
  }

  /** Takes or renews the ownership of a shard with jobs, and returns the jobs that are owned. */
  private GroupCommit.Applied<List<JobRecord>> own(JobShard shard) {
    long now = control.now().toEpochMilli();
    boolean owned = shard.owner().equals(self);
    boolean foreign = !owned && shard.ownedUntilMillis() > now;
    if (shard.jobs().isEmpty() || foreign) {
      return new GroupCommit.Applied<>(List.of(), false);
    }
    boolean renew = shard.ownedUntilMillis() - now < LEASE.toMillis() / 2;
    if (!owned) {
      events.record(
          EventType.JOB_SHARD_ACQUIRED, EventSubject.NONE, shard.jobs().size(), shard.owner());
    }
    if (!owned || renew) {
      shard.own(self, now + LEASE.toMillis());
    }
    return new GroupCommit.Applied<>(shard.jobs(), !owned || renew);
  }

  private void run(int shard, List<JobRecord> jobs, boolean mayStart) {
    if (!jobs.isEmpty()) {
      owned.add(shard);
    }
    if (draining || !mayStart) {
      return;
    }
    long active = running.keySet().stream().filter(id -> isInShard(id, shard)).count();
    for (JobRecord job : jobs) {
      if (active >= MAX_RUNNING_PER_SHARD) {
        return;
      }
      if (!running.containsKey(job.id())) {
        active++;
        start(job);
      }
    }
  }

  private void start(JobRecord job) {
    try {
      GenerationHandle handle = startOrResume(job);
      running.put(job.id(), handle);
      handle.request(Integer.MAX_VALUE);
    } catch (BasilportException e) {
      failed(job, e);
    }
  }

  private GenerationHandle startOrResume(JobRecord job) {
    JobRun run = new JobRun(job, control, this);
    boolean resumes = !job.resumeToken().isEmpty() && triedTokens.add(job.resumeToken());
    if (resumes) {
      return starter.resume(job.workspace(), job.resumeToken(), run);
    }
    GenerationRequest request = new GenerationRequest(job.route(), job.prompt(), job.maxTokens());
    return starter.start(requestIds.get(), job.workspace(), request, run);
  }

  private void store(JobRecord job, JobResult result) {
    results
        .create(job.id(), result)
        .thenCompose(
            created ->
                commits.apply(
                    shardOf(job),
                    shard -> {
                      boolean removed = shard.remove(job.id());
                      return new GroupCommit.Applied<>(removed, removed);
                    }))
        .whenComplete(
            (removed, failure) ->
                control.execute(
                    () -> {
                      // After a failed removal the next run finds the result and removes again.
                      failedRuns.remove(job.id());
                      triedTokens.remove(job.resumeToken());
                      ended(job);
                    }));
  }

  private CompletableFuture<Optional<DeferredJob>> readResult(String workspace, String jobId) {
    return store
        .read(JobResult.PREFIX + jobId)
        .thenApply(found -> found.map(object -> toJob(workspace, jobId, object)));
  }

  private DeferredJob toJob(String workspace, String jobId, StoredObject object) {
    JobResult result = JobResult.decode(object.value());
    synchronized (collected) {
      Integer earlier = collected.put(jobId, result.hashCode());
      Invariant.check(
          earlier == null || earlier == result.hashCode(),
          events,
          "a job has one result",
          "job " + jobId + " returned two different results");
    }
    return result.toJob(jobId, workspace);
  }

  private CompletableFuture<DeferredJob> readOpen(int shard, String workspace, String jobId) {
    return store
        .read(shardName(shard))
        .thenCompose(
            found -> {
              boolean open =
                  found
                      .map(object -> JobShard.CODEC.decode(object.value()))
                      .flatMap(state -> state.find(jobId))
                      .isPresent();
              if (open) {
                return CompletableFuture.completedFuture(openJob(workspace, jobId));
              }
              // The job may have ended between the two reads.
              return readResult(workspace, jobId)
                  .thenApply(result -> result.orElseThrow(DeferredJobService::notFound));
            });
  }

  private DeferredJob openJob(String workspace, String jobId) {
    return new DeferredJob(
        jobId, workspace, DeferredJob.State.QUEUED, Optional.empty(), Optional.empty());
  }

  private boolean hasRuns(int shard) {
    return running.keySet().stream().anyMatch(id -> isInShard(id, shard));
  }

  private static boolean isInShard(String jobId, int shard) {
    return jobId.startsWith(shard + ".");
  }

  private static List<String> resultPrefixes(long slot) {
    return IntStream.range(0, JobIds.SHARDS)
        .mapToObj(shard -> JobResult.PREFIX + JobIds.slotPrefix(shard, slot))
        .toList();
  }

  private String shardOf(JobRecord job) {
    return shardName(ids.shard(job.id(), job.workspace()).getAsInt());
  }

  private static String shardName(int shard) {
    return JobShard.PREFIX + shard;
  }

  private static RejectedException notFound() {
    return new RejectedException(FailureCode.NOT_FOUND, Step.COLLECT, "the job is not known");
  }

  private void record(EventType type, JobRecord job, Object... arguments) {
    events.record(type, EventSubject.request(job.id(), job.workspace()), arguments);
  }
}
