package org.basilport.claim;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.basilport.backend.BackendServer;
import org.basilport.error.BackendException;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.event.Invariant;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.quarantine.InFlightRequest;
import org.basilport.quarantine.IsolationLease;
import org.basilport.quarantine.Verdict;
import org.basilport.service.ServiceRequest;
import org.basilport.service.ServiceResponse;

/** One call of an application service. All state is confined to the traffic scheduler. */
final class ServiceCall {
  private static final int MAX_ATTEMPTS = 4;
  private static final Duration ISOLATION_RETRY_DELAY = Duration.ofMillis(100);

  private final ServiceCallEnvironment environment;
  private final ServiceCallTask task;
  private final ServiceCallReplicaSelector replicas;
  private final Scheduler traffic;
  private final EventSubject eventSubject;
  private final CompletableFuture<ServiceCallResult> result = new CompletableFuture<>();
  private final Set<String> triedReplicaIds = new HashSet<>();
  private Optional<SendPermit> permit = Optional.empty();
  private Cancellable timeout = () -> {};
  private Attempt currentAttempt;
  private int attempts;
  private boolean mayHaveRun;
  private boolean done;

  ServiceCall(
      ServiceCallEnvironment environment,
      ServiceCallTask task,
      ServiceCallReplicaSelector replicas) {
    this.environment = environment;
    this.task = task;
    this.replicas = replicas;
    this.traffic = environment.traffic();
    this.eventSubject = EventSubject.request(task.requestId(), task.workspace());
  }

  CompletableFuture<ServiceCallResult> result() {
    return result;
  }

  void begin() {
    timeout = traffic.schedule(task.timeout(), this::onTimeout);
    Verdict verdict = environment.crashTracker().verdict(task.fingerprint());
    if (verdict == Verdict.QUARANTINED || verdict == Verdict.UNRESOLVED) {
      fail(quarantined());
    } else if (task.repeatable()) {
      environment.retryBudget().recordFirstAttempt();
      tryNextReplica();
    } else {
      claim();
    }
  }

  private void claim() {
    RequestKey key;
    try {
      key = RequestKey.parse(task.workspace(), task.requestKey(), traffic.now());
    } catch (RejectedException e) {
      fail(e);
      return;
    }
    SendPermit claimPermit = new SendPermit(key, task.requestId(), environment.events());
    environment
        .claims()
        .claim(key, task.requestId())
        .whenComplete(
            (decision, failure) ->
                traffic.execute(() -> onClaimDecision(claimPermit, decision, failure)));
  }

  private void onClaimDecision(SendPermit claimPermit, ClaimDecision decision, Throwable failure) {
    if (failure != null) {
      environment.metrics().count("claim.failed", task.workspace());
      fail(BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.CLAIM));
      return;
    }
    environment
        .metrics()
        .count("claim." + decision.kind().name().toLowerCase(Locale.ROOT), task.workspace());
    switch (decision.kind()) {
      case HELD -> {
        permit = Optional.of(claimPermit);
        if (done) {
          // The call has already failed with the outcome NOT_RUN.
          environment.claims().release(claimPermit);
        } else {
          tryNextReplica();
        }
      }
      case FINISHED ->
          complete(new ServiceCallResult(task.requestId(), decision.status(), "", true));
      default -> fail((BasilportException) ClaimRegistry.rejection(decision, claimPermit.key()));
    }
  }

  private void tryNextReplica() {
    if (done) {
      return;
    }
    Optional<BackendServer> replica = replicas.select(task.service(), triedReplicaIds);
    Verdict verdict = environment.crashTracker().verdict(task.fingerprint());
    if (replica.isEmpty()) {
      fail(unavailable(FailureCode.NO_BACKEND, "no replica of the service is known"));
    } else if (verdict == Verdict.QUARANTINED || verdict == Verdict.UNRESOLVED) {
      fail(quarantined());
    } else if (verdict == Verdict.SUSPECT) {
      acquireIsolation(replica.get());
    } else {
      send(replica.get(), Optional.empty());
    }
  }

  private void acquireIsolation(BackendServer replica) {
    environment
        .isolation()
        .acquire(task.fingerprint(), replica.id(), task.requestId())
        .exceptionally(failure -> Optional.empty())
        .thenAccept(
            lease ->
                traffic.execute(
                    () -> {
                      if (lease.isEmpty()) {
                        traffic.schedule(ISOLATION_RETRY_DELAY, this::tryNextReplica);
                      } else if (done || !isCandidate(replica)) {
                        lease.get().release();
                        tryNextReplica();
                      } else {
                        send(replica, lease);
                      }
                    }));
  }

  private boolean isCandidate(BackendServer replica) {
    return environment.backends().candidates(task.service()).contains(replica);
  }

  private void send(BackendServer replica, Optional<IsolationLease> lease) {
    Invariant.check(
        task.repeatable() || permit.isPresent() && !mayHaveRun,
        environment.events(),
        "a request that may not be repeated is sent once, under its claim",
        task.requestId());
    attempts++;
    triedReplicaIds.add(replica.id());
    String attemptId = task.repeatable() ? task.requestId() + "-" + attempts : task.requestId();
    InFlightRequest inFlightRequest =
        environment.crashTracker().begin(task.fingerprint(), replica, lease.isPresent());
    Attempt attempt = new Attempt(attemptId, replica, inFlightRequest, lease, mayHaveRun);
    currentAttempt = attempt;
    mayHaveRun = true;
    permit.ifPresent(SendPermit::recordSend);
    replicas.callStarted(replica);
    ServiceRequest request =
        new ServiceRequest(
            attemptId,
            task.requestKey(),
            task.workspace(),
            task.path(),
            task.repeatable(),
            task.body());
    environment
        .services()
        .connect(replica.address())
        .call(request)
        .whenComplete(
            (response, failure) -> traffic.execute(() -> onResponse(attempt, response, failure)));
  }

  private void onResponse(Attempt attempt, ServiceResponse response, Throwable failure) {
    replicas.callEnded(attempt.replica);
    boolean outcomeUnknown =
        failure != null
            && BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.SEND).outcome()
                != Outcome.NOT_RUN;
    attempt.lease.ifPresent(
        outcomeUnknown ? IsolationLease::releaseServerSlot : IsolationLease::release);
    if (failure != null) {
      onFailure(attempt, BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.SEND));
    } else if (!response.requestId().equals(attempt.attemptId)) {
      environment.metrics().count("call.crossedAnswers", task.workspace());
      attempt.inFlightRequest.notRun();
      String message = "the replica's response belongs to another request";
      retryOrFail(lost(attempt, FailureCode.BACKEND_FAILED, message));
    } else {
      attempt.inFlightRequest.completed();
      long digest = Hashing.sha256().hashString(response.body(), StandardCharsets.UTF_8).asLong();
      permit.ifPresent(
          held -> environment.claims().recordOutcomeLater(held, response.status(), digest));
      record(EventType.CALL_FINISHED, task.requestId(), attempt.replica.id(), response.status());
      complete(new ServiceCallResult(attempt.attemptId, response.status(), response.body(), false));
    }
  }

  private void onFailure(Attempt attempt, BasilportException failure) {
    if (failure.outcome() == Outcome.NOT_RUN) {
      attempt.inFlightRequest.notRun();
      mayHaveRun = attempt.mayHaveRunBefore;
      permit.ifPresent(SendPermit::undoSend);
      if (done) {
        releaseUnsent();
      } else if (attempts >= MAX_ATTEMPTS) {
        fail(unavailable(FailureCode.NO_BACKEND, failure.getMessage()));
      } else {
        tryLater();
      }
      return;
    }
    attempt.inFlightRequest.connectionLost();
    retryOrFail(lost(attempt, FailureCode.BACKEND_LOST, failure.getMessage()));
  }

  /** Retries a repeatable call that may have run; any other call fails. */
  private void retryOrFail(BasilportException failure) {
    boolean retryAllowed =
        task.repeatable()
            && !done
            && currentAttempt.lease.isEmpty()
            && attempts < MAX_ATTEMPTS
            && environment.retryBudget().tryAcquireRetry();
    if (retryAllowed) {
      environment.metrics().count("call.retried", task.workspace());
      tryLater();
    } else {
      fail(failure);
    }
  }

  private void tryLater() {
    traffic.schedule(environment.retryBackoff().delay(attempts), this::tryNextReplica);
  }

  private void onTimeout() {
    fail(unavailable(FailureCode.TIMEOUT, "the call exceeded the timeout of its service"));
  }

  private void complete(ServiceCallResult callResult) {
    if (!done) {
      finish(callResult.duplicate() ? "duplicate" : "answered");
      result.complete(callResult);
    }
  }

  private void fail(BasilportException failure) {
    if (done) {
      return;
    }
    Invariant.check(
        failure.outcome() != Outcome.NOT_RUN || !mayHaveRun,
        environment.events(),
        "not run means not run",
        task.requestId());
    finish(failure.outcome() == Outcome.NOT_RUN ? "notRun" : "mayHaveRun");
    releaseUnsent();
    record(EventType.CALL_FAILED, task.requestId(), failure.getMessage());
    result.completeExceptionally(failure);
  }

  private void releaseUnsent() {
    if (!mayHaveRun) {
      permit.ifPresent(environment.claims()::release);
      permit = Optional.empty();
    }
  }

  private void finish(String outcome) {
    done = true;
    timeout.cancel();
    environment.metrics().count("call." + outcome, task.workspace());
  }

  private BasilportException quarantined() {
    return unavailable(FailureCode.QUARANTINED, "the request is suspected of crashing its service");
  }

  private BasilportException unavailable(FailureCode code, String message) {
    Outcome outcome = mayHaveRun ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN;
    Step step = mayHaveRun ? Step.SEND : Step.CONNECT;
    Duration retryAfter = Duration.ofSeconds(1);
    return new UnavailableException(code, outcome, step, "", retryAfter, message, null);
  }

  private static BasilportException lost(Attempt attempt, FailureCode code, String message) {
    return new BackendException(
        code, Outcome.MAY_HAVE_RUN, Step.SEND, attempt.replica.id(), message, null);
  }

  private void record(EventType type, Object... arguments) {
    environment.events().record(type, eventSubject, arguments);
  }

  /** An attempt to run the request on one replica. */
  private record Attempt(
      String attemptId,
      BackendServer replica,
      InFlightRequest inFlightRequest,
      Optional<IsolationLease> lease,
      boolean mayHaveRunBefore) {}
}
