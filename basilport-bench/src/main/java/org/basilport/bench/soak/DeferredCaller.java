package org.basilport.bench.soak;

import java.time.Duration;
import org.basilport.deferred.DeferredJob;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.router.Credentials;

/**
 * Submits a deferred generation, collects its result twice from random instances, and checks that
 * the result is complete and both times the same.
 */
final class DeferredCaller extends SoakCaller {
  private static final Duration POLL_DELAY = Duration.ofSeconds(3);
  private static final int REQUIRED_COLLECTIONS = 2;

  private final String name;
  private final Credentials credentials;
  private final GenerationRequest request;
  private int attempts;
  private int polls;
  private int collectedCount;
  private String jobId = "";
  private String result = "";

  DeferredCaller(SoakSimulation simulation, long number) {
    super(simulation);
    this.name = "job-" + number;
    this.credentials = SoakConfiguration.credentials((int) number);
    this.request =
        new GenerationRequest(
            SoakConfiguration.DEFERRED_ROUTE,
            name + " season ".repeat(1 + random.nextInt(60)),
            20 + random.nextInt(SoakConfiguration.MAX_TOKENS - 20));
  }

  void start() {
    if (attempts++ >= MAX_ATTEMPTS) {
      simulation.counts.add("deferred.not-submitted");
      return;
    }
    SimulatedInstance instance = pickInstance();
    int attempt = attempts;
    afterLatency(
        () ->
            instance.request(
                router ->
                    router
                        .submitDeferred(credentials, request)
                        .whenComplete(
                            (id, failure) -> afterLatency(() -> onSubmitted(attempt, id)))));
    startTimer(ANSWER_TIMEOUT, this::start);
  }

  private void onSubmitted(int attempt, String id) {
    if (attempt != attempts || !jobId.isEmpty()) {
      return;
    }
    if (id == null) {
      startTimer(RETRY_DELAY, this::start);
      return;
    }
    jobId = id;
    simulation.counts.add("deferred.accepted");
    simulation.addToTrace(name + id);
    startTimer(POLL_DELAY, this::poll);
  }

  private void poll() {
    SimulatedInstance instance = pickInstance();
    int poll = ++polls;
    afterLatency(
        () ->
            instance.request(
                router ->
                    router
                        .collectDeferred(credentials, jobId)
                        .whenComplete(
                            (job, failure) ->
                                afterLatency(() -> onCollected(poll, job, failure)))));
    startTimer(ANSWER_TIMEOUT, this::poll);
  }

  private void onCollected(int poll, DeferredJob job, Throwable failure) {
    if (poll != polls) {
      return;
    }
    if (failure != null) {
      BasilportException cause = BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.COLLECT);
      simulation.counts.add("deferred.failure." + cause.code());
    } else if (job.state() == DeferredJob.State.FAILED) {
      throw new SoakViolation("G2", name + " failed: " + job.failure().orElse(""));
    } else if (job.state() == DeferredJob.State.FINISHED) {
      checkResult(job.result().orElse(""));
    }
    if (collectedCount < REQUIRED_COLLECTIONS) {
      startTimer(POLL_DELAY, this::poll);
    } else {
      stopTimer();
    }
  }

  private void checkResult(String text) {
    require(
        result.isEmpty() || result.equals(text),
        "G2",
        name + " was collected with two different results");
    result = text;
    collectedCount++;
    if (collectedCount == REQUIRED_COLLECTIONS) {
      simulation.counts.add("deferred.complete");
      simulation.addToTrace(name + text.hashCode());
    }
    String[] tokens = text.trim().split(" ");
    String generationId = tokens[0].substring(0, tokens[0].indexOf(':'));
    for (int i = 0; i < tokens.length; i++) {
      require(
          tokens[i].equals(generationId + ":" + i),
          "G1",
          name + " has token " + tokens[i] + " at " + i);
    }
  }

  /** Returns whether the job was accepted and its result has not been collected twice. */
  boolean outstanding() {
    return !jobId.isEmpty() && collectedCount < REQUIRED_COLLECTIONS;
  }

  @Override
  public String toString() {
    return name + " (" + jobId + ")";
  }
}
