package org.basilport.deferred;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.policy.limit.FullJitterBackoff;

/** Creates result objects; an existing one is never replaced. */
final class ResultWriter {
  private final ObjectStore store;
  private final Scheduler control;
  private final FullJitterBackoff backoff;

  ResultWriter(ObjectStore store, Scheduler control, SplittableRandom random) {
    this.store = store;
    this.control = control;
    this.backoff = new FullJitterBackoff(Duration.ofMillis(100), Duration.ofSeconds(10), random);
  }

  /**
   * Creates the result object, retrying until it exists. The future's value is whether this call is
   * known to have created it.
   */
  CompletableFuture<Boolean> create(String jobId, JobResult result) {
    byte[] value = result.encode();
    JobResult stored = result;
    if (value.length > ObjectStore.MAX_VALUE_BYTES) {
      stored = new JobResult(false, "the result exceeds the maximum size of a stored object");
    }
    CompletableFuture<Boolean> created = new CompletableFuture<>();
    tryCreate(JobResult.PREFIX + jobId, stored.encode(), 1, created);
    return created;
  }

  private void tryCreate(
      String name, byte[] value, int attempt, CompletableFuture<Boolean> created) {
    store
        .write(name, value, ObjectStore.ABSENT)
        .whenComplete(
            (version, failure) -> {
              if (failure == null) {
                created.complete(true);
                return;
              }
              BasilportException cause =
                  BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.STORE);
              if (cause instanceof ConflictException) {
                created.complete(false);
              } else {
                control.schedule(
                    backoff.delay(attempt), () -> tryCreate(name, value, attempt + 1, created));
              }
            });
  }
}
