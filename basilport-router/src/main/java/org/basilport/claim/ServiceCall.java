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
import org.basilport.quarantine.IsolationLease;
import org.basilport.quarantine.RequestFlight;
import org.basilport.quarantine.Verdict;
import org.basilport.service.ServiceRequest;
import org.basilport.service.ServiceResponse;

/** One call of a plain service. All state is confined to the traffic scheduler. */
final class ServiceCall {
  private static final int MAX_TRIES = 4;
  private static final Duration ISOLATION_RETRY = Duration.ofMillis(100);

  private final ServiceCallEnvironment environment;
  private final ServiceCallTask work;
  private final ReplicaChoice replicas;
  private final Scheduler traffic;
  private final EventSubject subject;
  private final CompletableFuture<ServiceCallAnswer> result = new CompletableFuture<>();
  private final Set<String> tried = new HashSet<>();
  private Optional<ClaimTicket> ticket = Optional.empty();
  private Cancellable deadline = () -> {};
  private Try current;
  private int tries;
  private boolean mayHaveRun;
  private boolean over;

  ServiceCall(ServiceCallEnvironment environment, ServiceCallTask work, ReplicaChoice replicas) {
    this.environment = environment;
    this.work = work;
    this.replicas = replicas;
    this.traffic = environment.traffic();
    this.subject = EventSubject.request(work.requestId(), work.workspace());
  }

  CompletableFuture<ServiceCallAnswer> result() {
    return result;
  }

  void begin() {
    deadline = traffic.schedule(work.timeout(), this::timedOut);
    Verdict verdict = environment.crashes().verdict(work.fingerprint());
    if (verdict == Verdict.QUARANTINED || verdict == Verdict.UNRESOLVED) {
      fail(quarantined());
    } else if (work.repeatable()) {
      environment.retryBudget().recordFirstAttempt();
      tryReplica();
    } else {
      claim();
    }
  }

  private void claim() {
    RequestKey key;
    try {
      key = RequestKey.parse(work.workspace(), work.requestKey(), traffic.now());
    } catch (RejectedException e) {
      fail(e);
      return;
    }
    ClaimTicket claimed = new ClaimTicket(key, work.requestId(), environment.events());
    environment
        .claims()
        .claim(key, work.requestId())
        .whenComplete(
            (decision, failure) -> traffic.execute(() -> decided(claimed, decision, failure)));
  }

  private void decided(ClaimTicket claimed, ClaimDecision decision, Throwable failure) {
    if (failure != null) {
      environment.metrics().count("claim.failed", work.workspace());
      fail(BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.CLAIM));
      return;
    }
    environment
        .metrics()
        .count("claim." + decision.kind().name().toLowerCase(Locale.ROOT), work.workspace());
    switch (decision.kind()) {
      case HELD -> {
        ticket = Optional.of(claimed);
        if (over) {
          // The caller was told that the request was not run.
          environment.claims().release(claimed);
        } else {
          tryReplica();
        }
      }
      case FINISHED ->
          complete(new ServiceCallAnswer(work.requestId(), decision.status(), "", true));
      default -> fail((BasilportException) ClaimRegistry.refusal(decision, claimed.key()));
    }
  }

  private void tryReplica() {
    if (over) {
      return;
    }
    Optional<BackendServer> replica = replicas.choose(work.service(), tried);
    Verdict verdict = environment.crashes().verdict(work.fingerprint());
    if (replica.isEmpty()) {
      fail(unavailable(FailureCode.NO_BACKEND, "no replica of the service is known"));
    } else if (verdict == Verdict.QUARANTINED || verdict == Verdict.UNRESOLVED) {
      fail(quarantined());
    } else if (verdict == Verdict.SUSPECT) {
      isolate(replica.get());
    } else {
      send(replica.get(), Optional.empty());
    }
  }

  private void isolate(BackendServer replica) {
    environment
        .isolation()
        .acquire(work.fingerprint(), replica.id(), work.requestId())
        .exceptionally(failure -> Optional.empty())
        .thenAccept(
            granted ->
                traffic.execute(
                    () -> {
                      if (granted.isEmpty()) {
                        traffic.schedule(ISOLATION_RETRY, this::tryReplica);
                      } else if (over || !isCandidate(replica)) {
                        granted.get().release();
                        tryReplica();
                      } else {
                        send(replica, granted);
                      }
                    }));
  }

  private boolean isCandidate(BackendServer replica) {
    return environment.backends().candidates(work.service()).contains(replica);
  }

  private void send(BackendServer replica, Optional<IsolationLease> isolation) {
    Invariant.check(
        work.repeatable() || ticket.isPresent() && !mayHaveRun,
        environment.events(),
        "a request that may not be repeated is sent once, under its claim",
        work.requestId());
    tries++;
    tried.add(replica.id());
    String attemptId = work.repeatable() ? work.requestId() + "-" + tries : work.requestId();
    RequestFlight flight =
        environment.crashes().begin(work.fingerprint(), replica, isolation.isPresent());
    Try started = new Try(attemptId, replica, flight, isolation, mayHaveRun);
    current = started;
    mayHaveRun = true;
    ticket.ifPresent(ClaimTicket::send);
    replicas.started(replica);
    ServiceRequest request =
        new ServiceRequest(
            attemptId,
            work.requestKey(),
            work.workspace(),
            work.path(),
            work.repeatable(),
            work.body());
    environment
        .services()
        .connect(replica.address())
        .call(request)
        .whenComplete(
            (response, failure) -> traffic.execute(() -> answered(started, response, failure)));
  }

  private void answered(Try answeredTry, ServiceResponse response, Throwable failure) {
    replicas.ended(answeredTry.replica);
    boolean unknown =
        failure != null
            && BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.SEND).outcome()
                != Outcome.NOT_RUN;
    answeredTry.isolation.ifPresent(unknown ? IsolationLease::lapse : IsolationLease::release);
    if (failure != null) {
      failed(answeredTry, BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.SEND));
    } else if (!response.requestId().equals(answeredTry.attemptId)) {
      environment.metrics().count("call.crossedAnswers", work.workspace());
      answeredTry.flight.withdrawn();
      String message = "the replica answered another request";
      retry(lost(answeredTry, FailureCode.BACKEND_FAILED, message));
    } else {
      answeredTry.flight.completed();
      long digest = Hashing.sha256().hashString(response.body(), StandardCharsets.UTF_8).asLong();
      ticket.ifPresent(held -> environment.claims().finish(held, response.status(), digest));
      record(
          EventType.CALL_FINISHED, work.requestId(), answeredTry.replica.id(), response.status());
      complete(
          new ServiceCallAnswer(answeredTry.attemptId, response.status(), response.body(), false));
    }
  }

  private void failed(Try failedTry, BasilportException failure) {
    if (failure.outcome() == Outcome.NOT_RUN) {
      failedTry.flight.withdrawn();
      mayHaveRun = failedTry.mayHaveRunBefore;
      ticket.ifPresent(ClaimTicket::notSent);
      if (over) {
        releaseUnsent();
      } else if (tries >= MAX_TRIES) {
        fail(unavailable(FailureCode.NO_BACKEND, failure.getMessage()));
      } else {
        tryLater();
      }
      return;
    }
    failedTry.flight.lost();
    retry(lost(failedTry, FailureCode.BACKEND_LOST, failure.getMessage()));
  }

  /** Tries a repeatable call again after it may have run; any other call ends here. */
  private void retry(BasilportException failure) {
    boolean again =
        work.repeatable()
            && !over
            && current.isolation.isEmpty()
            && tries < MAX_TRIES
            && environment.retryBudget().tryRetry();
    if (again) {
      environment.metrics().count("call.retried", work.workspace());
      tryLater();
    } else {
      fail(failure);
    }
  }

  private void tryLater() {
    traffic.schedule(environment.retryDelays().delay(tries), this::tryReplica);
  }

  private void timedOut() {
    fail(unavailable(FailureCode.TIMEOUT, "the call took longer than its service allows"));
  }

  private void complete(ServiceCallAnswer answer) {
    if (!over) {
      end(answer.duplicate() ? "duplicate" : "answered");
      result.complete(answer);
    }
  }

  private void fail(BasilportException failure) {
    if (over) {
      return;
    }
    Invariant.check(
        failure.outcome() != Outcome.NOT_RUN || !mayHaveRun,
        environment.events(),
        "not run means not run",
        work.requestId());
    end(failure.outcome() == Outcome.NOT_RUN ? "notRun" : "mayHaveRun");
    releaseUnsent();
    record(EventType.CALL_FAILED, work.requestId(), failure.getMessage());
    result.completeExceptionally(failure);
  }

  private void releaseUnsent() {
    if (!mayHaveRun) {
      ticket.ifPresent(environment.claims()::release);
      ticket = Optional.empty();
    }
  }

  private void end(String outcome) {
    over = true;
    deadline.cancel();
    environment.metrics().count("call." + outcome, work.workspace());
  }

  private BasilportException quarantined() {
    return unavailable(FailureCode.QUARANTINED, "the request is suspected to crash its service");
  }

  private BasilportException unavailable(FailureCode code, String message) {
    Outcome outcome = mayHaveRun ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN;
    Step step = mayHaveRun ? Step.SEND : Step.CONNECT;
    Duration retryAfter = Duration.ofSeconds(1);
    return new UnavailableException(code, outcome, step, "", retryAfter, message, null);
  }

  private static BasilportException lost(Try failedTry, FailureCode code, String message) {
    return new BackendException(
        code, Outcome.MAY_HAVE_RUN, Step.SEND, failedTry.replica.id(), message, null);
  }

  private void record(EventType type, Object... arguments) {
    environment.events().record(type, subject, arguments);
  }

  /** The request at one replica. */
  private record Try(
      String attemptId,
      BackendServer replica,
      RequestFlight flight,
      Optional<IsolationLease> isolation,
      boolean mayHaveRunBefore) {}
}
