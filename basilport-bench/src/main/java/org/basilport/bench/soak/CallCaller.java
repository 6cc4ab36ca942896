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
 * Calls an application service with one request key, retries at other instances until it receives
 * an answer, and checks how often the service executed the call.
 */
final class CallCaller extends SoakCaller {
  private static final Duration FINAL_CHECK_DELAY = Duration.ofSeconds(40);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);

  private final String key;
  private final Credentials credentials;
  private int attempts;
  private int currentAttempt;
  private boolean answered;
  private boolean mayHaveRun;
  private boolean succeeded;

  CallCaller(SoakSimulation simulation, long number) {
    super(simulation);
    this.key =
        simulation.scheduler.now().getEpochSecond() + "-" + Long.toHexString(random.nextLong());
    this.credentials = SoakConfiguration.credentials((int) number);
  }

  void start() {
    if (attempts++ >= MAX_ATTEMPTS) {
      finish("gave-up");
      return;
    }
    int attempt = ++currentAttempt;
    answered = false;
    SimulatedInstance instance = pickInstance();
    send(instance, attempt);
    if (random.nextInt(4) == 0) {
      // Covers concurrent duplicates: the same key is sent to a second instance at the same time.
      send(pickInstance(), attempt);
    }
    startTimer(
        CALL_TIMEOUT,
        () -> {
          mayHaveRun = true;
          simulation.counts.add("call.timeout");
          retry();
        });
  }

  private void send(SimulatedInstance instance, int attempt) {
    CallRequest request =
        new CallRequest(SoakConfiguration.CALL_ROUTE, "/move", key, false, "move " + key);
    afterLatency(
        () ->
            instance.request(
                router ->
                    router
                        .call(credentials, request)
                        .whenComplete(
                            (result, failure) ->
                                afterLatency(() -> onResult(attempt, result, failure)))));
  }

  private void onResult(int attempt, CallResult result, Throwable failure) {
    if (failure == null) {
      succeeded = true;
      require(result.status() == 200, "G2", key + " answered with status " + result.status());
    } else {
      recordFailure(BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.SEND));
    }
    if (attempt != currentAttempt || answered) {
      return;
    }
    answered = true;
    stopTimer();
    if (failure == null) {
      finish(result.duplicate() ? "duplicate" : "complete");
    } else {
      retry();
    }
  }

  private void recordFailure(BasilportException failure) {
    simulation.counts.add("call.failure." + failure.code() + "." + failure.outcome());
    boolean earlierAttempt =
        failure.code() == FailureCode.CONFLICT || failure.code() == FailureCode.DUPLICATE;
    if (failure.outcome() != Outcome.NOT_RUN || earlierAttempt) {
      mayHaveRun = true;
    }
  }

  private void retry() {
    startTimer(RETRY_DELAY, this::start);
  }

  private void finish(String outcome) {
    stopTimer();
    currentAttempt = -1;
    simulation.counts.add("call." + outcome);
    simulation.addToTrace(key + outcome);
    checkExecutions();
    simulation.scheduler.schedule(FINAL_CHECK_DELAY, this::checkExecutions);
  }

  private void checkExecutions() {
    int executions = simulation.executions.ofKey(key);
    require(executions <= 1, "G4", "key " + key + " was executed " + executions + " times");
    if (succeeded) {
      require(
          executions == 1,
          "G2",
          "key " + key + " was answered; executions instead of 1: " + executions);
    } else if (!mayHaveRun) {
      require(executions == 0, "G3", "key " + key + " was reported as NOT_RUN but was executed");
    }
  }
}
