package org.basilport.deferred;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.event.InvariantViolation;
import org.basilport.fake.FakeEngine;
import org.basilport.fake.FakeFleet;
import org.basilport.membership.MemberStatus;
import org.basilport.router.Credentials;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DeferredJobServiceTest {
  private static final int LENGTH = 300;

  private final FakeFleet fleet = new FakeFleet(2, 3);

  private CompletableFuture<String> submit(int maxTokens) {
    return fleet
        .routers
        .get(0)
        .submitDeferred(FakeFleet.CALLER, new GenerationRequest("late", "note", maxTokens));
  }

  private String submitted() {
    CompletableFuture<String> id = submit(LENGTH);
    fleet.advanceMillis(100);
    return id.join();
  }

  private CompletableFuture<DeferredJob> collect(int router, Credentials caller, String id) {
    CompletableFuture<DeferredJob> job = fleet.routers.get(router).collectDeferred(caller, id);
    fleet.advanceMillis(100);
    return job;
  }

  private DeferredJob collect(String id) {
    return collect(1, FakeFleet.CALLER, id).join();
  }

  private long generationsStarted() {
    return fleet.engines.values().stream().mapToLong(engine -> engine.started.size()).sum();
  }

  private int ownerOf(String id) {
    String shard = JobShard.PREFIX + id.substring(0, id.indexOf('.'));
    String owner = fleet.controlPlanes.get(0).owner(shard).orElseThrow().id();
    return owner.equals("i0") ? 0 : 1;
  }

  private static BasilportException failureOf(CompletableFuture<?> result) {
    assertThat(result.isCompletedExceptionally()).isTrue();
    Throwable failure = result.handle((value, thrown) -> thrown).join();
    return BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.COLLECT);
  }

  @Nested
  class JobExecution {
    /** Guards against jobs that are lost, or run more than once although nothing failed. */
    @Test
    void runsJobOnceAndKeepsItsCompleteResult() {
      String id = submitted();
      assertThat(collect(id).state()).isEqualTo(DeferredJob.State.QUEUED);
      fleet.advanceMillis(20_000);

      DeferredJob job = collect(id);
      assertThat(job.state()).isEqualTo(DeferredJob.State.FINISHED);
      assertThat(job.result().get()).contains(":" + (LENGTH - 1));
      assertThat(collect(0, FakeFleet.CALLER, id).join()).isEqualTo(job);
      assertThat(generationsStarted()).isEqualTo(1);
    }

    /** Guards against a job that fails when its engine crashes instead of being retried. */
    @Test
    void runsJobAgainAfterEngineCrash() {
      String id = submitted();
      fleet.advanceMillis(2_500);
      fleet.engines.values().stream()
          .filter(engine -> !engine.started.isEmpty())
          .findFirst()
          .ifPresent(FakeEngine::crash);
      fleet.advanceMillis(40_000);

      assertThat(collect(id).state()).isEqualTo(DeferredJob.State.FINISHED);
      assertThat(generationsStarted()).isEqualTo(2);
    }

    /** Guards against a job that is retried after it crashed two engines. */
    @Test
    void failsJobAfterItCrashedTwoEngines() {
      CompletableFuture<String> id =
          fleet
              .routers
              .get(0)
              .submitDeferred(FakeFleet.CALLER, new GenerationRequest("late", "crash", LENGTH));
      fleet.advanceMillis(120_000);

      DeferredJob job = collect(id.join());
      assertThat(job.state()).isEqualTo(DeferredJob.State.FAILED);
      assertThat(job.failure().get()).contains("quarantined");
      assertThat(fleet.engineCrashes()).isEqualTo(2);
    }

    /** Guards against jobs that are never run because their owner died. */
    @Test
    void takesOverJobOfDeadOwner() {
      String id = submitted();
      int owner = ownerOf(id);
      fleet.controlPlanes.get(owner).status = MemberStatus.LEFT;
      fleet.advanceMillis(60_000);

      assertThat(collect(id).state()).isEqualTo(DeferredJob.State.FINISHED);
    }

    /** Guards against a result that is overwritten when a paused owner resumes. */
    @Test
    void firstCompleteGenerationWinsWithTwoOwners() {
      String id = submitted();
      fleet.advanceMillis(2_500);
      fleet.store.writeDelay = Duration.ofSeconds(16);
      fleet.advanceMillis(5_000);
      fleet.controlPlanes.get(ownerOf(id)).status = MemberStatus.LEFT;
      fleet.advanceMillis(40_000);
      fleet.store.writeDelay = Duration.ZERO;
      fleet.advanceMillis(60_000);

      DeferredJob first = collect(id);
      fleet.advanceMillis(60_000);
      assertThat(first.state()).isEqualTo(DeferredJob.State.FINISHED);
      assertThat(collect(id)).isEqualTo(first);
      assertThat(generationsStarted()).isEqualTo(2);
    }

    /** Guards against a second run of a job when its owner is drained. */
    @Test
    void drainedOwnerHandsOverItsRun() {
      CompletableFuture<String> accepted = submit(5_000);
      fleet.advanceMillis(5_000);
      String id = accepted.join();
      CompletableFuture<Void> drained = fleet.routers.get(ownerOf(id)).drain("test");
      fleet.advanceMillis(90_000);

      DeferredJob job = collect(id);
      assertThat(drained.isDone()).isTrue();
      assertThat(job.state()).isEqualTo(DeferredJob.State.FINISHED);
      assertThat(job.result().get()).startsWith(firstToken());
      assertThat(job.result().get()).endsWith(":4999");
      assertThat(generationsStarted()).isEqualTo(1);
    }

    private String firstToken() {
      return fleet.engines.values().stream()
          .flatMap(engine -> engine.started.stream())
          .findFirst()
          .map(generation -> generation + ":0")
          .orElseThrow();
    }
  }

  @Nested
  class Rejections {
    /** Guards against reading the result of another workspace. */
    @Test
    void jobOfAnotherWorkspaceIsNotFound() {
      String id = submitted();
      BasilportException failure = failureOf(collect(0, FakeFleet.OTHER_CALLER, id));
      assertThat(failure.code()).isEqualTo(FailureCode.NOT_FOUND);
      assertThat(failureOf(collect(0, FakeFleet.CALLER, "3.x.y")).code())
          .isEqualTo(FailureCode.NOT_FOUND);
    }

    /** Guards against results that exceed the size of a stored object. */
    @Test
    void rejectsJobWhoseResultWouldBeTooLarge() {
      assertThat(failureOf(submit(90_000)).code()).isEqualTo(FailureCode.TOO_LARGE);
    }

    /** Guards against accepting a job that was not stored. */
    @Test
    void rejectsJobAsNotRunInAnOutage() {
      fleet.store.unavailable = true;
      CompletableFuture<String> id = submit(LENGTH);
      fleet.advanceMillis(10_000);
      assertThat(failureOf(id).outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(failureOf(id).code()).isEqualTo(FailureCode.PLATFORM_UNAVAILABLE);
    }
  }

  /** Guards against an invariant check that misses a replaced result. */
  @Test
  void detectsReplacedResult() {
    String id = submitted();
    fleet.advanceMillis(20_000);
    collect(id);
    fleet.store.ignoresVersions = true;
    byte[] other = new JobResult(true, "other").encode();
    fleet.store.write(JobResult.PREFIX + id, other, 0);

    CompletableFuture<DeferredJob> job = collect(1, FakeFleet.CALLER, id);
    assertThrows(InvariantViolation.class, () -> rethrow(job));
  }

  private static void rethrow(CompletableFuture<?> result) throws Exception {
    try {
      result.join();
    } catch (CompletionException e) {
      throw (Exception) e.getCause();
    }
  }
}
