package org.basilport.delivery;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.basilport.backend.BackendServer;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenFrame;
import org.basilport.error.BasilportException;
import org.basilport.error.LeavingException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.event.Invariant;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.policy.GenerationClass;
import org.basilport.policy.Placement;
import org.basilport.quarantine.InFlightRequest;
import org.basilport.quarantine.IsolationLease;
import org.basilport.quarantine.Verdict;

/**
 * Delivers one generation to a caller. All state is confined to the traffic scheduler.
 *
 * <p>After a lost connection the session resumes on the same engine from the next offset. After a
 * lost engine it starts a new attempt only if the caller has received no token, because a stream
 * must not mix the tokens of two generations.
 */
final class GenerationSession implements GenerationHandle, GenerationAttempt.Listener {
  private static final Duration QUEUE_TIMEOUT = Duration.ofSeconds(30);
  // Longer than QUEUE_TIMEOUT because the suspects of a server run one at a time.
  private static final Duration ISOLATION_TIMEOUT = Duration.ofMinutes(2);
  private static final Duration PLACEMENT_RETRY_DELAY = Duration.ofMillis(100);
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_FAILED_PLACEMENTS = 5;

  private enum State {
    NEW,
    WAITING,
    ISOLATING,
    RUNNING,
    DONE
  }

  private final DeliveryEnvironment environment;
  private final GenerationTask task;
  private final GenerationDispatcher dispatcher;
  private final GenerationListener listener;
  private final Runnable onDone;
  private final Scheduler traffic;
  private final TokenLatencyRecorder latencyRecorder;
  private final EventSubject eventSubject;
  private final SessionFailures failures = new SessionFailures();
  private final FrameBuffer buffer;
  private State state = State.NEW;
  private GenerationAttempt currentAttempt;
  private Placement placement;
  private InFlightRequest inFlightRequest;
  private IsolationLease isolationLease = IsolationLease.none();
  private Cancellable queueTimeout = () -> {};
  private boolean isolated;
  private GenerationEnd end;
  private long requestedBatches;
  private int attemptNumber = 1;
  private int failedPlacements;
  private boolean mayHaveRun;

  /** Creates a session for a new generation, or for the generation that a resume token names. */
  GenerationSession(
      DeliveryEnvironment environment,
      GenerationTask task,
      GenerationDispatcher dispatcher,
      GenerationListener listener,
      Runnable onDone,
      Optional<ResumeToken> resumeToken) {
    this.environment = environment;
    this.task = task;
    this.dispatcher = dispatcher;
    this.listener = listener;
    this.onDone = onDone;
    this.traffic = environment.traffic();
    this.latencyRecorder =
        new TokenLatencyRecorder(
            environment.metrics(), traffic, task.workspace(), resumeToken.isPresent());
    this.eventSubject = EventSubject.request(task.requestId(), task.workspace());
    String generationId = resumeToken.map(ResumeToken::generationId).orElse("");
    long offset = resumeToken.map(ResumeToken::nextOffset).orElse(0L);
    this.buffer = new FrameBuffer(environment.events(), generationId, offset);
    this.mayHaveRun = resumeToken.isPresent();
  }

  /** Starts a new generation. */
  void begin() {
    environment.retryBudget().recordFirstAttempt();
    startQueueTimeout();
    submit();
  }

  /** Resumes the generation of the token. */
  void beginResume(ResumeToken resumeToken) {
    Optional<BackendServer> server = environment.backends().find(resumeToken.serverId());
    if (server.isEmpty() || server.get().incarnation() != resumeToken.incarnation()) {
      String reason = "the backend server that ran the generation is gone";
      fail(failures.lost(resumeToken.serverId(), buffer, reason));
      return;
    }
    state = State.RUNNING;
    // A resumed generation is not retried: the session does not have its prompt.
    attemptNumber = MAX_ATTEMPTS;
    inFlightRequest = environment.crashTracker().begin(task.fingerprint(), server.get(), false);
    environment.metrics().count("generation.resumed", task.workspace());
    record(EventType.GENERATION_RESUMED, resumeToken.generationId(), buffer.nextOffset());
    currentAttempt = newAttempt(server.get(), resumeToken.generationId());
    currentAttempt.resume();
  }

  /** Starts the session on the server that the policy selected. */
  void onPlacement(Placement newPlacement) {
    placement = newPlacement;
    Verdict verdict = environment.crashTracker().verdict(task.fingerprint());
    Optional<BackendServer> server = environment.backends().find(newPlacement.serverId());
    if (failures.rejects(verdict)) {
      fail(failures.quarantined(verdict, mayHaveRun));
    } else if (server.isEmpty() || server.get().leaving()) {
      requestNewPlacement();
    } else if (verdict == Verdict.SUSPECT) {
      acquireIsolation(server.get());
    } else {
      startAttempt(server.get(), false);
    }
  }

  /** Ends the current attempt if it ran on this incarnation of the server. */
  void onServerCrash(BackendServer crashedServer) {
    if (state == State.RUNNING
        && end == null
        && currentAttempt.server().id().equals(crashedServer.id())
        && currentAttempt.server().incarnation() == crashedServer.incarnation()) {
      currentAttempt.close();
      onEngineLost("the backend server crashed");
    }
  }

  /** Ends the session because the instance is leaving; the generation continues on its engine. */
  void handOver(List<String> addresses) {
    if (state != State.RUNNING) {
      rejectUnlessRunning(addresses);
      return;
    }
    // The tokens of a deferred generation are held in memory by this run, so the next run must read
    // all of them again.
    String resumeToken = resumeToken(isDeferred() ? 0 : buffer.deliveredOffset());
    record(
        EventType.GENERATION_HANDED_OVER, currentAttempt.generationId(), buffer.deliveredOffset());
    currentAttempt.close();
    finish();
    listener.onHandover(resumeToken, addresses);
  }

  /** Rejects the session because the instance is leaving, unless an engine already runs it. */
  void rejectUnlessRunning(List<String> addresses) {
    if (state == State.RUNNING || state == State.DONE) {
      return;
    }
    dispatcher.withdraw(task.requestId());
    fail(
        mayHaveRun
            ? failures.lost("", buffer, "the instance is leaving; an earlier attempt may have run")
            : new LeavingException(Step.ADMIT, addresses));
  }

  @Override
  public String requestId() {
    return task.requestId();
  }

  @Override
  public void request(int batches) {
    requestedBatches += batches;
    deliver();
  }

  @Override
  public void detach() {
    if (state == State.DONE) {
      return;
    }
    if (state == State.RUNNING) {
      currentAttempt.abandon();
    } else {
      dispatcher.withdraw(task.requestId());
    }
    finish();
  }

  @Override
  public void cancel() {
    if (state == State.DONE) {
      return;
    }
    if (state == State.RUNNING) {
      currentAttempt.cancel();
    } else {
      dispatcher.withdraw(task.requestId());
    }
    record(EventType.GENERATION_CANCELLED, task.requestId());
    finish();
  }

  @Override
  public void onTokensBuffered() {
    latencyRecorder.recordTokens();
    if (placement != null) {
      dispatcher.recordProgress(task.requestId(), buffer.nextOffset());
    }
    deliver();
  }

  @Override
  public void onEnd(GenerationEnd generationEnd) {
    end = generationEnd;
    inFlightRequest.completed();
    inFlightRequest = null;
    isolationLease.release();
    if (placement != null) {
      boolean notCancelled = generationEnd.reason() != GenerationEnd.Reason.CANCELLED;
      dispatcher.recordFinish(task.requestId(), generationEnd.totalTokens(), notCancelled);
      placement = null;
    }
    deliver();
  }

  @Override
  public void onNotSent() {
    // An earlier attempt may have run, even though this one did not.
    mayHaveRun = attemptNumber > 1;
    inFlightRequest.notRun();
    inFlightRequest = null;
    startQueueTimeout();
    dispatcher.avoid(currentAttempt.server().id());
    requestNewPlacement();
  }

  @Override
  public void onEngineLost(String reason) {
    inFlightRequest.connectionLost();
    inFlightRequest = null;
    isolationLease.releaseServerSlot();
    BackendServer server = currentAttempt.server();
    dispatcher.avoid(server.id());
    // A suspect is not retried here: its caller decides once the crash of the server is known.
    boolean retryAllowed =
        buffer.deliveredOffset() == 0
            && !isolated
            && attemptNumber < MAX_ATTEMPTS
            && environment.retryBudget().tryAcquireRetry();
    if (!retryAllowed) {
      fail(failures.lost(server.id(), buffer, reason));
      return;
    }
    currentAttempt.cancel();
    releasePlacement();
    attemptNumber++;
    environment.metrics().count("generation.retried", task.workspace());
    record(EventType.GENERATION_RETRIED, task.requestId(), attemptNumber, reason);
    startQueueTimeout();
    submit();
  }

  private void submit() {
    Verdict verdict = environment.crashTracker().verdict(task.fingerprint());
    if (failures.rejects(verdict)) {
      fail(failures.quarantined(verdict, mayHaveRun));
      return;
    }
    state = State.WAITING;
    if (!dispatcher.submit(this, WorkItemFactory.create(task, attemptNumber))) {
      fail(failures.queueFull(dispatcher.retryAfterMillis(), mayHaveRun));
    }
  }

  private void acquireIsolation(BackendServer server) {
    state = State.ISOLATING;
    environment
        .isolation()
        .acquire(task.fingerprint(), server.id(), task.requestId() + "-" + attemptNumber)
        .exceptionally(failure -> Optional.empty())
        .thenAccept(lease -> traffic.execute(() -> onIsolationResult(server, lease)));
  }

  private void onIsolationResult(BackendServer server, Optional<IsolationLease> lease) {
    if (state != State.ISOLATING) {
      lease.ifPresent(IsolationLease::release);
      return;
    }
    isolationLease = lease.orElse(isolationLease);
    boolean usable =
        environment.backends().find(server.id()).filter(current -> !current.leaving()).isPresent();
    if (lease.isPresent() && usable) {
      startAttempt(server, true);
    } else {
      releasePlacement();
      submitAfterDelay();
    }
  }

  private void requestNewPlacement() {
    releasePlacement();
    failedPlacements++;
    if (failedPlacements > MAX_FAILED_PLACEMENTS) {
      fail(failures.noBackend(mayHaveRun));
    } else {
      submitAfterDelay();
    }
  }

  private void submitAfterDelay() {
    state = State.WAITING;
    traffic.schedule(
        PLACEMENT_RETRY_DELAY,
        () -> {
          if (state == State.WAITING) {
            submit();
          }
        });
  }

  private void startAttempt(BackendServer server, boolean inIsolation) {
    queueTimeout.cancel();
    state = State.RUNNING;
    isolated = inIsolation;
    mayHaveRun = true;
    String generationId = task.requestId() + "-" + attemptNumber;
    buffer.restart(generationId);
    inFlightRequest = environment.crashTracker().begin(task.fingerprint(), server, inIsolation);
    record(EventType.GENERATION_ADMITTED, generationId, server.id());
    currentAttempt = newAttempt(server, generationId);
    currentAttempt.start(placement.priority());
  }

  private GenerationAttempt newAttempt(BackendServer server, String generationId) {
    return new GenerationAttempt(environment, task, server, generationId, buffer, this);
  }

  private void deliver() {
    while (state == State.RUNNING && requestedBatches > 0 && !buffer.isEmpty()) {
      boolean firstDelivery = buffer.deliveredOffset() == 0;
      TokenFrame frame = buffer.take();
      requestedBatches--;
      currentAttempt.requestFrame();
      if (firstDelivery) {
        record(EventType.GENERATION_FIRST_TOKEN, currentAttempt.generationId());
      }
      String resumeToken = isDeferred() ? "" : resumeToken(buffer.deliveredOffset());
      listener.onTokens(frame.offset(), frame.tokens(), resumeToken);
    }
    if (state == State.RUNNING && end != null && buffer.isEmpty()) {
      record(EventType.GENERATION_FINISHED, currentAttempt.generationId(), end.totalTokens());
      finish();
      listener.onEnd(end.totalTokens(), end.reason().name().toLowerCase(Locale.ROOT));
    }
  }

  private void fail(BasilportException failure) {
    if (state == State.DONE) {
      return;
    }
    Invariant.check(
        failure.outcome() != Outcome.NOT_RUN || !mayHaveRun,
        environment.events(),
        "not run means not run",
        task.requestId());
    if (failure.outcome() == Outcome.NOT_RUN) {
      environment.metrics().count("generation.refused", task.workspace());
      record(EventType.GENERATION_REFUSED, task.requestId(), failure.getMessage());
    } else {
      environment.metrics().count("generation.lost", task.workspace());
      long tokens = buffer.deliveredOffset();
      record(EventType.GENERATION_LOST, task.requestId(), tokens, failure.getMessage());
    }
    finish();
    listener.onFailure(failure);
  }

  private void finish() {
    if (state == State.DONE) {
      return;
    }
    state = State.DONE;
    queueTimeout.cancel();
    isolationLease.release();
    if (inFlightRequest != null) {
      inFlightRequest.notRun();
    }
    if (placement != null) {
      dispatcher.recordFinish(task.requestId(), buffer.nextOffset(), false);
    }
    onDone.run();
  }

  private void releasePlacement() {
    isolationLease.release();
    isolationLease = IsolationLease.none();
    placement = null;
    dispatcher.recordFinish(task.requestId(), 0, false);
  }

  private void startQueueTimeout() {
    queueTimeout.cancel();
    if (!isDeferred()) {
      boolean suspect = environment.crashTracker().verdict(task.fingerprint()) == Verdict.SUSPECT;
      Duration limit = suspect ? ISOLATION_TIMEOUT : QUEUE_TIMEOUT;
      queueTimeout = traffic.schedule(limit, this::onQueueTimeout);
    }
  }

  private void onQueueTimeout() {
    if (state == State.WAITING || state == State.ISOLATING) {
      dispatcher.withdraw(task.requestId());
      fail(failures.queueTimeout(dispatcher.retryAfterMillis(), mayHaveRun));
    }
  }

  private void record(EventType type, Object... arguments) {
    environment.events().record(type, eventSubject, arguments);
  }

  private boolean isDeferred() {
    return task.generationClass() == GenerationClass.DEFERRED;
  }

  private String resumeToken(long offset) {
    return ResumeTokenFactory.create(
        environment, task, currentAttempt.server(), currentAttempt.generationId(), offset);
  }
}
