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
import org.basilport.quarantine.IsolationLease;
import org.basilport.quarantine.RequestFlight;
import org.basilport.quarantine.Verdict;

/**
 * One generation on its way to a caller. All state is confined to the traffic scheduler.
 *
 * <p>A lost connection is resumed at the same engine from the next offset. A lost engine leads to a
 * new attempt only while the caller has no token, since two generations never share a stream.
 */
final class GenerationSession implements GenerationHandle, GenerationAttempt.Owner {
  private static final Duration QUEUE_DEADLINE = Duration.ofSeconds(30);
  // A suspect waits for its turn behind other suspects, which run one at a time on each server.
  private static final Duration ISOLATION_DEADLINE = Duration.ofMinutes(2);
  private static final Duration PLACEMENT_RETRY = Duration.ofMillis(100);
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_REFUSED_PLACEMENTS = 5;

  private enum State {
    NEW,
    WAITING,
    ISOLATING,
    RUNNING,
    DONE
  }

  private final DeliveryEnvironment environment;
  private final GenerationTask work;
  private final ServiceDispatcher dispatcher;
  private final GenerationListener listener;
  private final Runnable onDone;
  private final Scheduler traffic;
  private final SessionMeter meter;
  private final EventSubject subject;
  private final SessionFailures failures = new SessionFailures();
  private final FrameBuffer buffer;
  private State state = State.NEW;
  private GenerationAttempt current;
  private Placement placement;
  private RequestFlight flight;
  private IsolationLease isolation = IsolationLease.none();
  private Cancellable queueDeadline = () -> {};
  private boolean isolated;
  private GenerationEnd end;
  private long demand;
  private int attempt = 1;
  private int refusedPlacements;
  private boolean mayHaveRun;

  /** Creates a session of new work, or of the generation that a resume token names. */
  GenerationSession(
      DeliveryEnvironment environment,
      GenerationTask work,
      ServiceDispatcher dispatcher,
      GenerationListener listener,
      Runnable onDone,
      Optional<ResumeToken> token) {
    this.environment = environment;
    this.work = work;
    this.dispatcher = dispatcher;
    this.listener = listener;
    this.onDone = onDone;
    this.traffic = environment.traffic();
    this.meter =
        new SessionMeter(environment.metrics(), traffic, work.workspace(), token.isPresent());
    this.subject = EventSubject.request(work.requestId(), work.workspace());
    String generationId = token.map(ResumeToken::generationId).orElse("");
    long offset = token.map(ResumeToken::nextOffset).orElse(0L);
    this.buffer = new FrameBuffer(environment.events(), generationId, offset);
    this.mayHaveRun = token.isPresent();
  }

  /** Starts a session of new work. */
  void begin() {
    environment.retryBudget().recordFirstAttempt();
    startQueueDeadline();
    submit();
  }

  /** Starts a session that resumes a generation. */
  void beginResume(ResumeToken token) {
    Optional<BackendServer> found = environment.backends().find(token.serverId());
    if (found.isEmpty() || found.get().incarnation() != token.incarnation()) {
      String reason = "the backend server that held the generation is gone";
      fail(failures.lost(token.serverId(), buffer, reason));
      return;
    }
    state = State.RUNNING;
    // Only new work is sent again, so a resumed generation has no second attempt.
    attempt = MAX_ATTEMPTS;
    flight = environment.crashes().begin(work.fingerprint(), found.get(), false);
    environment.metrics().count("generation.resumed", work.workspace());
    record(EventType.GENERATION_RESUMED, token.generationId(), buffer.nextOffset());
    current = newAttempt(found.get(), token.generationId());
    current.resume();
  }

  /** Takes the place that the policy gave. */
  void placed(Placement given) {
    placement = given;
    Verdict verdict = environment.crashes().verdict(work.fingerprint());
    Optional<BackendServer> found = environment.backends().find(given.serverId());
    if (failures.refuses(verdict)) {
      fail(failures.quarantined(verdict, mayHaveRun));
    } else if (found.isEmpty() || found.get().leaving()) {
      placeAgain();
    } else if (verdict == Verdict.SUSPECT) {
      isolate(found.get());
    } else {
      open(found.get(), false);
    }
  }

  /** Ends the attempt when its backend server died. */
  void serverDied(BackendServer dead) {
    if (state == State.RUNNING
        && end == null
        && current.server().id().equals(dead.id())
        && current.server().incarnation() == dead.incarnation()) {
      current.close();
      engineLost("the backend server died");
    }
  }

  /** Ends the session because the instance is leaving; the generation goes on at its engine. */
  void handOver(List<String> addresses) {
    if (state != State.RUNNING) {
      leave(addresses);
      return;
    }
    // The tokens of a deferred generation are kept by its run here, so the next run needs them all.
    String token = token(isDeferred() ? 0 : buffer.deliveredOffset());
    record(EventType.GENERATION_HANDED_OVER, current.generationId(), buffer.deliveredOffset());
    current.close();
    finish();
    listener.onHandover(token, addresses);
  }

  /** Refuses the session because the instance is leaving, unless an engine runs it. */
  void leave(List<String> addresses) {
    if (state == State.RUNNING || state == State.DONE) {
      return;
    }
    dispatcher.withdraw(work.requestId());
    fail(
        mayHaveRun
            ? failures.lost("", buffer, "the instance is leaving; an earlier attempt may have run")
            : new LeavingException(Step.ADMIT, addresses));
  }

  @Override
  public String requestId() {
    return work.requestId();
  }

  @Override
  public void request(int batches) {
    demand += batches;
    deliver();
  }

  @Override
  public void detach() {
    if (state == State.DONE) {
      return;
    }
    if (state == State.RUNNING) {
      current.abandon();
    } else {
      dispatcher.withdraw(work.requestId());
    }
    finish();
  }

  @Override
  public void cancel() {
    if (state == State.DONE) {
      return;
    }
    if (state == State.RUNNING) {
      current.cancel();
    } else {
      dispatcher.withdraw(work.requestId());
    }
    record(EventType.GENERATION_CANCELLED, work.requestId());
    finish();
  }

  @Override
  public void tokensArrived() {
    meter.arrived();
    if (placement != null) {
      dispatcher.progressed(work.requestId(), buffer.nextOffset());
    }
    deliver();
  }

  @Override
  public void ended(GenerationEnd ended) {
    end = ended;
    flight.completed();
    flight = null;
    isolation.release();
    if (placement != null) {
      boolean natural = ended.reason() != GenerationEnd.Reason.CANCELLED;
      dispatcher.finished(work.requestId(), ended.totalTokens(), natural);
      placement = null;
    }
    deliver();
  }

  @Override
  public void notSent() {
    mayHaveRun = attempt > 1;
    flight.withdrawn();
    flight = null;
    startQueueDeadline();
    dispatcher.avoid(current.server().id());
    placeAgain();
  }

  @Override
  public void engineLost(String reason) {
    flight.lost();
    flight = null;
    isolation.lapse();
    BackendServer server = current.server();
    dispatcher.avoid(server.id());
    // A suspect is not tried again here: its caller decides after the death is known.
    boolean tryElsewhere =
        buffer.deliveredOffset() == 0
            && !isolated
            && attempt < MAX_ATTEMPTS
            && environment.retryBudget().tryRetry();
    if (!tryElsewhere) {
      fail(failures.lost(server.id(), buffer, reason));
      return;
    }
    current.cancel();
    giveBackPlacement();
    attempt++;
    environment.metrics().count("generation.retried", work.workspace());
    record(EventType.GENERATION_RETRIED, work.requestId(), attempt, reason);
    startQueueDeadline();
    submit();
  }

  private void submit() {
    Verdict verdict = environment.crashes().verdict(work.fingerprint());
    if (failures.refuses(verdict)) {
      fail(failures.quarantined(verdict, mayHaveRun));
      return;
    }
    state = State.WAITING;
    if (!dispatcher.submit(this, PolicyItems.item(work, attempt))) {
      fail(failures.queueFull(dispatcher.retryAfterMillis(), mayHaveRun));
    }
  }

  private void isolate(BackendServer server) {
    state = State.ISOLATING;
    environment
        .isolation()
        .acquire(work.fingerprint(), server.id(), work.requestId() + "-" + attempt)
        .exceptionally(failure -> Optional.empty())
        .thenAccept(granted -> traffic.execute(() -> isolationAnswered(server, granted)));
  }

  private void isolationAnswered(BackendServer server, Optional<IsolationLease> granted) {
    if (state != State.ISOLATING) {
      granted.ifPresent(IsolationLease::release);
      return;
    }
    isolation = granted.orElse(isolation);
    boolean usable =
        environment.backends().find(server.id()).filter(now -> !now.leaving()).isPresent();
    if (granted.isPresent() && usable) {
      open(server, true);
    } else {
      giveBackPlacement();
      submitLater();
    }
  }

  private void placeAgain() {
    giveBackPlacement();
    refusedPlacements++;
    if (refusedPlacements > MAX_REFUSED_PLACEMENTS) {
      fail(failures.noBackend(mayHaveRun));
    } else {
      submitLater();
    }
  }

  private void submitLater() {
    state = State.WAITING;
    traffic.schedule(
        PLACEMENT_RETRY,
        () -> {
          if (state == State.WAITING) {
            submit();
          }
        });
  }

  private void open(BackendServer server, boolean inIsolation) {
    queueDeadline.cancel();
    state = State.RUNNING;
    isolated = inIsolation;
    mayHaveRun = true;
    String generationId = work.requestId() + "-" + attempt;
    buffer.restart(generationId);
    flight = environment.crashes().begin(work.fingerprint(), server, inIsolation);
    record(EventType.GENERATION_ADMITTED, generationId, server.id());
    current = newAttempt(server, generationId);
    current.start(placement.priority());
  }

  private GenerationAttempt newAttempt(BackendServer server, String generationId) {
    return new GenerationAttempt(environment, work, server, generationId, buffer, this);
  }

  private void deliver() {
    while (state == State.RUNNING && demand > 0 && !buffer.isEmpty()) {
      boolean first = buffer.deliveredOffset() == 0;
      TokenFrame frame = buffer.take();
      demand--;
      current.requestFrame();
      if (first) {
        record(EventType.GENERATION_FIRST_TOKEN, current.generationId());
      }
      String token = isDeferred() ? "" : token(buffer.deliveredOffset());
      listener.onTokens(frame.offset(), frame.tokens(), token);
    }
    if (state == State.RUNNING && end != null && buffer.isEmpty()) {
      record(EventType.GENERATION_FINISHED, current.generationId(), end.totalTokens());
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
        work.requestId());
    if (failure.outcome() == Outcome.NOT_RUN) {
      environment.metrics().count("generation.refused", work.workspace());
      record(EventType.GENERATION_REFUSED, work.requestId(), failure.getMessage());
    } else {
      environment.metrics().count("generation.lost", work.workspace());
      long tokens = buffer.deliveredOffset();
      record(EventType.GENERATION_LOST, work.requestId(), tokens, failure.getMessage());
    }
    finish();
    listener.onFailure(failure);
  }

  private void finish() {
    if (state == State.DONE) {
      return;
    }
    state = State.DONE;
    queueDeadline.cancel();
    isolation.release();
    if (flight != null) {
      flight.withdrawn();
    }
    if (placement != null) {
      dispatcher.finished(work.requestId(), buffer.nextOffset(), false);
    }
    onDone.run();
  }

  private void giveBackPlacement() {
    isolation.release();
    isolation = IsolationLease.none();
    placement = null;
    dispatcher.finished(work.requestId(), 0, false);
  }

  private void startQueueDeadline() {
    queueDeadline.cancel();
    if (!isDeferred()) {
      boolean suspect = environment.crashes().verdict(work.fingerprint()) == Verdict.SUSPECT;
      Duration limit = suspect ? ISOLATION_DEADLINE : QUEUE_DEADLINE;
      queueDeadline = traffic.schedule(limit, this::queueDeadlinePassed);
    }
  }

  private void queueDeadlinePassed() {
    if (state == State.WAITING || state == State.ISOLATING) {
      dispatcher.withdraw(work.requestId());
      fail(failures.queueTimeout(dispatcher.retryAfterMillis(), mayHaveRun));
    }
  }

  private void record(EventType type, Object... arguments) {
    environment.events().record(type, subject, arguments);
  }

  private boolean isDeferred() {
    return work.generationClass() == GenerationClass.DEFERRED;
  }

  private String token(long offset) {
    return SessionTokens.encode(
        environment, work, current.server(), current.generationId(), offset);
  }
}
