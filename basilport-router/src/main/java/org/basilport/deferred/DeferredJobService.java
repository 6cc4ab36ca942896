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
import org.basilport.claim.TimeSlotSweeper;
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
 * Accepts jobs, runs the jobs of the shards that this instance owns, and returns results.
 *
 * <p>If an owner is replaced while it runs a job, the job may run twice, which costs only engine
 * time: the result object is created once, so the first complete generation wins.
 */
public final class DeferredJobService implements JobRun.Listener {
  /** Maximum size of a result, in bytes of UTF-8. */
  static final int MAX_RESULT_BYTES = 900_000;

  // Upper bound for nearly all tokens, so that the result of an accepted job fits into its object.
  private static final int BYTES_PER_TOKEN = 16;
  private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration POLL_INTERVAL = Duration.ofSeconds(2);
  private static final Duration LEASE_DURATION = Duration.ofSeconds(15);
  private static final Duration RESULT_RETENTION = Duration.ofDays(7);
  private static final int MAX_RUNNING_PER_SHARD = 8;
  private static final int MAX_FAILED_RUNS = 5;
  private static final int MAX_REMEMBERED_RESULTS = 1_000;

  private final ObjectStore store;
  private final Scheduler control;
  private final EventSink events;
  private final MembershipView membership;
  private final JobLauncher launcher;
  private final Supplier<String> requestIds;
  private final String ownerId;
  private final JobIds jobIds;
  private final GroupCommit<JobShard> commits;
  private final ResultWriter resultWriter;
  private final Map<String, GenerationHandle> running = new HashMap<>();
  private final Map<String, Integer> failedRunCounts = new HashMap<>();
  // Each token is tried once; if the resumed run fails, the job starts anew.
  private final Set<String> usedResumeTokens = new HashSet<>();
  private final Set<Integer> ownedShards = new HashSet<>();
  private final Map<String, Integer> resultHashes =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
          return size() > MAX_REMEMBERED_RESULTS;
        }
      };
  private final TimeSlotSweeper resultSweeper;
  private Cancellable pollTimer = () -> {};
  private boolean draining;

  /**
   * Creates a service that has not started.
   *
   * @param ownerId id and incarnation of this instance
   * @param clusterKey secret from which the key that signs job ids is derived
   * @param requestIds supplies ids that are unique across instances
   */
  public DeferredJobService(
      ObjectStore store,
      Scheduler control,
      EventSink events,
      MembershipView membership,
      JobLauncher launcher,
      String ownerId,
      String clusterKey,
      Supplier<String> requestIds,
      SplittableRandom random) {
    this.store = store;
    this.control = control;
    this.events = events;
    this.membership = membership;
    this.launcher = launcher;
    this.requestIds = requestIds;
    this.ownerId = ownerId;
    this.jobIds = new JobIds(clusterKey);
    this.commits =
        new GroupCommit<>(store, control, JobShard.CODEC, events, COMMIT_TIMEOUT, random.split());
    this.resultWriter = new ResultWriter(store, control, random.split());
    this.resultSweeper =
        new TimeSlotSweeper(
            store,
            control,
            membership,
            "results",
            JobIds.SLOT_LENGTH,
            RESULT_RETENTION,
            DeferredJobService::resultPrefixes,
            object -> store.delete(object.name(), object.version()));
  }

  /** Starts polling for jobs. */
  public void start() {
    pollTimer = control.scheduleRepeating(POLL_INTERVAL, this::poll);
    resultSweeper.start();
  }

  /** Stops starting jobs; a shard with running jobs is released when they have ended. */
  public void drain() {
    control.execute(
        () -> {
          draining = true;
          IntStream.range(0, JobIds.SHARDS).forEach(this::releaseShardIfIdle);
        });
  }

  /** Returns whether no job runs or is being handed over; call on the control scheduler. */
  public boolean idle() {
    return running.isEmpty();
  }

  /** Stops the service; the next owner takes over jobs that still run. */
  public void stop() {
    control.execute(
        () -> {
          draining = true;
          pollTimer.cancel();
          resultSweeper.stop();
        });
  }

  /** Stores a job and returns its id. */
  public CompletableFuture<String> submit(
      String workspace, String route, String prompt, int maxTokens) {
    if ((long) maxTokens * BYTES_PER_TOKEN > MAX_RESULT_BYTES) {
      return CompletableFuture.failedFuture(
          new RejectedException(
              FailureCode.TOO_LARGE,
              Step.ADMIT,
              "a deferred result has at most " + MAX_RESULT_BYTES / BYTES_PER_TOKEN + " tokens"));
    }
    String id = jobIds.create(requestIds.get(), workspace, control.now());
    JobRecord job = new JobRecord(id, workspace, route, prompt, maxTokens, "");
    return commits
        .apply(shardName(jobIds.shard(id, workspace).getAsInt()), shard -> addJob(shard, job))
        .thenApply(
            accepted -> {
              if (!accepted) {
                throw new RejectedException(
                    FailureCode.QUEUE_FULL, Step.STORE, POLL_INTERVAL, "the job shard is full");
              }
              record(EventType.JOB_ACCEPTED, job, id);
              return id;
            });
  }

  /** Returns a job and its result; fails with NOT_FOUND if unknown or of another workspace. */
  public CompletableFuture<DeferredJob> collect(String workspace, String jobId) {
    OptionalInt shard = jobIds.shard(jobId, workspace);
    if (shard.isEmpty()) {
      return CompletableFuture.failedFuture(notFound());
    }
    return readResult(workspace, jobId)
        .thenCompose(
            found -> {
              if (found.isPresent()) {
                return CompletableFuture.completedFuture(found.get());
              }
              return readPending(shard.getAsInt(), workspace, jobId);
            });
  }

  @Override
  public void onRunCompleted(JobRecord job, String text, long tokens) {
    record(EventType.JOB_FINISHED, job, job.id(), tokens);
    store(job, new JobResult(true, text));
  }

  @Override
  public void onRunFailed(JobRecord job, BasilportException failure) {
    // Runs that never reached an engine do not count towards MAX_FAILED_RUNS.
    int failureCount = failure.outcome() == Outcome.NOT_RUN ? 0 : 1;
    int runs = failedRunCounts.merge(job.id(), failureCount, Integer::sum);
    boolean permanent = isPermanent(failure) || runs >= MAX_FAILED_RUNS;
    if (permanent) {
      store(job, new JobResult(false, failure.getMessage()));
    } else {
      onRunInterrupted(job);
    }
  }

  @Override
  public void onRunInterrupted(JobRecord job) {
    record(EventType.JOB_RETRIED, job, job.id(), "its run ended early");
    onRunEnded(job);
  }

  @Override
  public void onRunHandedOver(JobRecord job, String resumeToken) {
    record(EventType.JOB_RETRIED, job, job.id(), "its owner is leaving and hands it over");
    commits
        .apply(shardOf(job), shard -> replaceJob(shard, job.withResumeToken(resumeToken)))
        .whenComplete((updated, failure) -> control.execute(() -> onRunEnded(job)));
  }

  private static GroupCommit.Applied<Boolean> replaceJob(JobShard shard, JobRecord job) {
    boolean pending = shard.find(job.id()).isPresent();
    boolean changed = pending && !shard.find(job.id()).get().equals(job);
    if (changed) {
      shard.put(job);
    }
    return new GroupCommit.Applied<>(pending, changed);
  }

  private void onRunEnded(JobRecord job) {
    running.remove(job.id());
    if (draining) {
      releaseShardIfIdle(jobIds.shard(job.id(), job.workspace()).getAsInt());
    }
  }

  /** Releases the shard, so that another instance need not wait for the lease to expire. */
  private void releaseShardIfIdle(int shard) {
    if (!hasRunningJobs(shard) && ownedShards.remove(shard)) {
      commits.apply(
          shardName(shard),
          state -> {
            boolean ownsShard = state.owner().equals(ownerId);
            if (ownsShard) {
              state.setOwner("", 0);
            }
            return new GroupCommit.Applied<>(ownsShard, ownsShard);
          });
    }
  }

  private static boolean isPermanent(BasilportException failure) {
    return switch (failure.code()) {
      // A retry time means that it is not yet known whether the request crashed its server.
      case QUARANTINED -> failure.retryAfter().isEmpty();
      case UNKNOWN_ROUTE, MALFORMED, TOO_LARGE -> true;
      default -> false;
    };
  }

  private static GroupCommit.Applied<Boolean> addJob(JobShard shard, JobRecord job) {
    if (shard.find(job.id()).isPresent()) {
      return new GroupCommit.Applied<>(true, false);
    }
    if (!shard.hasRoomFor(job)) {
      return new GroupCommit.Applied<>(false, false);
    }
    shard.put(job);
    return new GroupCommit.Applied<>(true, true);
  }

  private void poll() {
    for (int shard = 0; shard < JobIds.SHARDS; shard++) {
      String name = shardName(shard);
      boolean ownsShard = !draining && membership.owner(name).map(Member::id).equals(selfId());
      boolean busy = hasRunningJobs(shard);
      if (ownsShard || busy) {
        int number = shard;
        commits
            .applyToLatest(name, this::acquireOrRenew)
            .thenAccept(jobs -> control.execute(() -> startJobs(number, jobs, ownsShard)));
      }
    }
  }

  private Optional<String> selfId() {
    return Optional.of(membership.self().id());
  }

  /** Acquires or renews the lease of a shard that has jobs; returns the jobs if it is held. */
  private GroupCommit.Applied<List<JobRecord>> acquireOrRenew(JobShard shard) {
    long now = control.now().toEpochMilli();
    boolean held = shard.owner().equals(ownerId);
    boolean heldByAnother = !held && shard.ownedUntilMillis() > now;
    if (shard.jobs().isEmpty() || heldByAnother) {
      return new GroupCommit.Applied<>(List.of(), false);
    }
    boolean renew = shard.ownedUntilMillis() - now < LEASE_DURATION.toMillis() / 2;
    if (!held) {
      events.record(
          EventType.JOB_SHARD_ACQUIRED, EventSubject.NONE, shard.jobs().size(), shard.owner());
    }
    if (!held || renew) {
      shard.setOwner(ownerId, now + LEASE_DURATION.toMillis());
    }
    return new GroupCommit.Applied<>(shard.jobs(), !held || renew);
  }

  private void startJobs(int shard, List<JobRecord> jobs, boolean mayStart) {
    if (!jobs.isEmpty()) {
      ownedShards.add(shard);
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
      onRunFailed(job, e);
    }
  }

  private GenerationHandle startOrResume(JobRecord job) {
    JobRun run = new JobRun(job, control, this);
    boolean resumable = !job.resumeToken().isEmpty() && usedResumeTokens.add(job.resumeToken());
    if (resumable) {
      return launcher.resume(job.workspace(), job.resumeToken(), run);
    }
    GenerationRequest request = new GenerationRequest(job.route(), job.prompt(), job.maxTokens());
    return launcher.start(requestIds.get(), job.workspace(), request, run);
  }

  private void store(JobRecord job, JobResult result) {
    resultWriter
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
                      // After a failed removal the job runs again, and the removal is retried.
                      failedRunCounts.remove(job.id());
                      usedResumeTokens.remove(job.resumeToken());
                      onRunEnded(job);
                    }));
  }

  private CompletableFuture<Optional<DeferredJob>> readResult(String workspace, String jobId) {
    return store
        .read(JobResult.PREFIX + jobId)
        .thenApply(found -> found.map(object -> toJob(workspace, jobId, object)));
  }

  private DeferredJob toJob(String workspace, String jobId, StoredObject object) {
    JobResult result = JobResult.decode(object.value());
    synchronized (resultHashes) {
      Integer previousHash = resultHashes.put(jobId, result.hashCode());
      Invariant.check(
          previousHash == null || previousHash == result.hashCode(),
          events,
          "a job has one result",
          "job " + jobId + " returned two different results");
    }
    return result.toJob(jobId, workspace);
  }

  private CompletableFuture<DeferredJob> readPending(int shard, String workspace, String jobId) {
    return store
        .read(shardName(shard))
        .thenCompose(
            found -> {
              boolean pending =
                  found
                      .map(object -> JobShard.CODEC.decode(object.value()))
                      .flatMap(state -> state.find(jobId))
                      .isPresent();
              if (pending) {
                return CompletableFuture.completedFuture(pendingJob(workspace, jobId));
              }
              // The job may have finished between the two reads.
              return readResult(workspace, jobId)
                  .thenApply(result -> result.orElseThrow(DeferredJobService::notFound));
            });
  }

  private DeferredJob pendingJob(String workspace, String jobId) {
    return new DeferredJob(
        jobId, workspace, DeferredJob.State.QUEUED, Optional.empty(), Optional.empty());
  }

  private boolean hasRunningJobs(int shard) {
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
    return shardName(jobIds.shard(job.id(), job.workspace()).getAsInt());
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
