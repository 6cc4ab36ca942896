package org.basilport.bench.soak;

import java.time.Duration;
import org.basilport.deferred.DeferredJob;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.router.Credentials;

/** Submits a generation and collects its result from any instance until it has seen it twice. */
final class DeferredCaller extends SoakCaller {
  private static final Duration POLL_DELAY = Duration.ofSeconds(3);
  private static final int COLLECTS = 2;

  private final String name;
  private final Credentials credentials;
  private final GenerationRequest request;
  private int attempts;
  private int polls;
  private int collected;
  private String jobId = "";
  private String result = "";

  DeferredCaller(SoakWorld world, long number) {
    super(world);
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
      world.counts.add("deferred.not-submitted");
      return;
    }
    SimulatedInstance instance = pickInstance();
    int attempt = attempts;
    later(
        () ->
            instance.request(
                router ->
                    router
                        .submitDeferred(credentials, request)
                        .whenComplete((id, failure) -> later(() -> submitted(attempt, id)))));
    startTimer(ANSWER_TIMEOUT, this::start);
  }

  private void submitted(int attempt, String id) {
    if (attempt != attempts || !jobId.isEmpty()) {
      return;
    }
    if (id == null) {
      startTimer(RETRY_DELAY, this::start);
      return;
    }
    jobId = id;
    world.counts.add("deferred.accepted");
    world.trace(name + id);
    startTimer(POLL_DELAY, this::poll);
  }

  private void poll() {
    SimulatedInstance instance = pickInstance();
    int poll = ++polls;
    later(
        () ->
            instance.request(
                router ->
                    router
                        .collectDeferred(credentials, jobId)
                        .whenComplete(
                            (job, failure) -> later(() -> collected(poll, job, failure)))));
    startTimer(ANSWER_TIMEOUT, this::poll);
  }

  private void collected(int poll, DeferredJob job, Throwable failure) {
    if (poll != polls) {
      return;
    }
    if (failure != null) {
      BasilportException cause = BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.COLLECT);
      world.counts.add("deferred.failure." + cause.code());
    } else if (job.state() == DeferredJob.State.FAILED) {
      throw new SoakViolation("G2", name + " failed: " + job.failure().orElse(""));
    } else if (job.state() == DeferredJob.State.FINISHED) {
      checkResult(job.result().orElse(""));
    }
    if (collected < COLLECTS) {
      startTimer(POLL_DELAY, this::poll);
    } else {
      stopTimer();
    }
  }

  private void checkResult(String text) {
    require(result.isEmpty() || result.equals(text), "G2", name + " was collected with two texts");
    result = text;
    collected++;
    if (collected == COLLECTS) {
      world.counts.add("deferred.complete");
      world.trace(name + text.hashCode());
    }
    String[] tokens = text.trim().split(" ");
    String source = tokens[0].substring(0, tokens[0].indexOf(':'));
    for (int i = 0; i < tokens.length; i++) {
      require(
          tokens[i].equals(source + ":" + i), "G1", name + " has token " + tokens[i] + " at " + i);
    }
  }

  /** Whether the platform holds the job and its result has not been collected yet. */
  boolean outstanding() {
    return !jobId.isEmpty() && collected < COLLECTS;
  }

  @Override
  public String toString() {
    return name + " (" + jobId + ")";
  }
}
