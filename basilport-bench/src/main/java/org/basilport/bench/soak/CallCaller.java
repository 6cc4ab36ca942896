package org.basilport.bench.soak;

import java.time.Duration;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.router.CallRequest;
import org.basilport.router.CallResult;
import org.basilport.router.Credentials;

/**
 * Calls a plain service with one request key, sends it again at other instances when it does not
 * know whether it ran, and checks how often it ran in the end.
 */
final class CallCaller extends SoakCaller {
  private static final Duration FINAL_CHECK_DELAY = Duration.ofSeconds(40);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);

  private final String key;
  private final Credentials credentials;
  private int attempts;
  private int current;
  private boolean answered;
  private boolean mayHaveRun;
  private boolean ran;

  CallCaller(SoakWorld world, long number) {
    super(world);
    this.key = world.scheduler.now().getEpochSecond() + "-" + Long.toHexString(random.nextLong());
    this.credentials = SoakConfiguration.credentials((int) number);
  }

  void start() {
    if (attempts++ >= MAX_ATTEMPTS) {
      finish("gave-up");
      return;
    }
    int attempt = ++current;
    answered = false;
    SimulatedInstance instance = pickInstance();
    send(instance, attempt);
    if (random.nextInt(4) == 0) {
      // An impatient caller sends the same key to another instance at the same time.
      send(pickInstance(), attempt);
    }
    startTimer(
        CALL_TIMEOUT,
        () -> {
          mayHaveRun = true;
          world.counts.add("call.timeout");
          again();
        });
  }

  private void send(SimulatedInstance instance, int attempt) {
    CallRequest request =
        new CallRequest(SoakConfiguration.CALL_ROUTE, "/move", key, false, "move " + key);
    later(
        () ->
            instance.request(
                router ->
                    router
                        .call(credentials, request)
                        .whenComplete(
                            (result, failure) -> later(() -> answer(attempt, result, failure)))));
  }

  private void answer(int attempt, CallResult result, Throwable failure) {
    if (failure == null) {
      ran = true;
      require(result.status() == 200, "G2", key + " answered with status " + result.status());
    } else {
      note(BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.SEND));
    }
    if (attempt != current || answered) {
      return;
    }
    answered = true;
    stopTimer();
    if (failure == null) {
      finish(result.duplicate() ? "duplicate" : "complete");
    } else {
      again();
    }
  }

  private void note(BasilportException failure) {
    world.counts.add("call.failure." + failure.code() + "." + failure.outcome());
    boolean earlierAttempt =
        failure.code() == FailureCode.CONFLICT || failure.code() == FailureCode.DUPLICATE;
    if (failure.outcome() != Outcome.NOT_RUN || earlierAttempt) {
      mayHaveRun = true;
    }
  }

  private void again() {
    startTimer(RETRY_DELAY, this::start);
  }

  private void finish(String outcome) {
    stopTimer();
    current = -1;
    world.counts.add("call." + outcome);
    world.trace(key + outcome);
    check();
    world.scheduler.schedule(FINAL_CHECK_DELAY, this::check);
  }

  private void check() {
    int executions = world.executions.ofKey(key);
    require(executions <= 1, "G4", "key " + key + " ran " + executions + " times");
    if (ran) {
      require(executions == 1, "G2", "key " + key + " was answered and ran " + executions);
    } else if (!mayHaveRun) {
      require(executions == 0, "G3", "key " + key + " was called not run and ran");
    }
  }
}
