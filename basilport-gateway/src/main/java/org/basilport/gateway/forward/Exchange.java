package org.basilport.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.basilport.error.Step;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.backend.AnswerListener;
import org.basilport.gateway.backend.BackendConnection;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.config.Repeatability;
import org.basilport.gateway.frontend.CallerHandle;
import org.basilport.gateway.message.CallerRequest;
import org.basilport.gateway.message.ForwardingDetails;
import org.basilport.gateway.message.MemoryReference;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.RequestDemand;

/**
 * One request from its arrival to its answer: placement, sending, repetition, time limit.
 *
 * <p>Confined to the traffic thread. Subclasses deliver the answer.
 */
abstract class Exchange implements PlacementRequest, AnswerListener, CallerHandle {
  /** Attempts that a server refused without running them, before the caller is refused. */
  private static final int MAX_REFUSED_ATTEMPTS = 2;

  /** Share of the target latency that a request waits for a server before it is refused. */
  private static final double WAIT_SHARE = 0.8;

  final ForwardingContext context;
  final CallerRequest request;
  final ForwardingRoute route;
  final Optional<KeyHolder> holder;
  final CallerChannel caller;
  final ServiceDispatcher dispatcher;
  final long arrivedNanos = System.nanoTime();
  private final long deadlineNanos;
  private final Set<String> tried = new HashSet<>();
  private final ScheduledFuture<?> deadlineTimer;
  private ScheduledFuture<?> waitTimer;
  private Optional<PendingRequestQueue.Entry<PlacementRequest>> place = Optional.empty();
  private OutstandingWork charge = OutstandingWork.NONE;
  private int runs;
  private int refusedAttempts;
  private boolean callerGone;
  private boolean finished;
  private Runnable endListener = () -> {};
  BackendServer server;
  BackendConnection connection;

  Exchange(
      ForwardingContext context,
      CallerRequest request,
      ForwardingRoute route,
      Optional<KeyHolder> holder,
      CallerChannel caller) {
    this.context = context;
    this.request = request;
    this.route = route;
    this.holder = holder;
    this.caller = caller;
    this.dispatcher = context.state().dispatcher(route.serviceFor(request.id()));
    Duration limit =
        request.patience().filter(p -> p.compareTo(route.timeout()) < 0).orElse(route.timeout());
    this.deadlineNanos = arrivedNanos + limit.toNanos();
    this.deadlineTimer =
        context.eventLoop().schedule(this::onDeadline, limit.toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Starts to look for a backend server. */
  final void begin() {
    if (context.state().servers().suspects().quarantined(request.fingerprint(), arrivedNanos)) {
      context
          .events()
          .record(
              EventType.REQUEST_QUARANTINED,
              subject(),
              Long.toHexString(request.fingerprint()),
              "several");
      refuse(Step.ADMIT, "the request crashed several backend servers");
      return;
    }
    dispatcher.retries().recordRequest(arrivedNanos);
    long wait = Math.round(WAIT_SHARE * route.targetLatency().toNanos());
    waitTimer = context.eventLoop().schedule(this::onWaitEnd, wait, TimeUnit.NANOSECONDS);
    enterLine();
  }

  private void enterLine() {
    if (!dispatcher.hasServers()) {
      refuse(Step.LOCATE, "no backend server");
      return;
    }
    dispatcher.submit(this);
  }

  @Override
  public final void onQueued(PendingRequestQueue.Entry<PlacementRequest> entry) {
    place = Optional.of(entry);
  }

  @Override
  public RequestDemand demand() {
    return request
        .prompt()
        .map(prompt -> RequestDemand.generation(prompt.promptTokens(), prompt.likelyOutputTokens()))
        .orElse(RequestDemand.SERVICE_CALL);
  }

  @Override
  public final int priority() {
    return holder.filter(h -> h.priority() >= 0).map(KeyHolder::priority).orElse(route.priority());
  }

  @Override
  public boolean accepts(BackendServer candidate) {
    return !tried.contains(candidate.entry().id());
  }

  @Override
  public final void onLineFull() {
    place = Optional.empty();
    refuse(Step.ADMIT, "waiting line is full");
  }

  @Override
  public final void onPlaced(BackendServer chosen) {
    place = Optional.empty();
    charge = demand().toWork();
    server = chosen;
    if (finished) {
      releaseServer();
      return;
    }
    tried.add(chosen.entry().id());
    connect(start());
  }

  /** How the request starts at a server that was chosen for it. */
  ForwardingStart start() {
    return ForwardingStart.FRESH;
  }

  /** Opens a connection to the present server and sends the request. */
  final void connect(ForwardingStart start) {
    BackendServer target = server;
    target
        .connections()
        .acquire(
            opened -> {
              if (finished || server != target) {
                opened.close();
                return;
              }
              send(opened, start);
            },
            problem -> {
              target.load().health().recordUnreachable(System.nanoTime());
              if (!target.load().leaving()) {
                context.state().servers().confirmDeath(target.entry());
              }
              if (!finished && server == target) {
                onNotRun(Step.CONNECT, problem);
              }
            });
  }

  private void send(BackendConnection opened, ForwardingStart start) {
    if (server.load().leaving() && start.memory().isEmpty()) {
      opened.close();
      onNotRun(Step.SEND, "backend server is leaving");
      return;
    }
    connection = opened;
    runs++;
    logSent();
    onSending();
    FullHttpRequest message =
        context.codec().encodeRequest(request, details(start), server.entry().address());
    opened.send(message, request.id(), this);
  }

  private ForwardingDetails details(ForwardingStart start) {
    return new ForwardingDetails(
        Duration.ofNanos(Math.max(1_000_000, deadlineNanos - System.nanoTime())),
        server.entry().id(),
        holder.map(KeyHolder::workspace),
        start.lastEventId().or(request::lastEventId),
        start.memory());
  }

  /** Called right before the request is sent. */
  void onSending() {}

  /** The connection was lost while the server was at work; the request may have crashed it. */
  final void suspectServerDeath() {
    if (server != null && !server.announcedDeparture()) {
      context
          .state()
          .servers()
          .suspects()
          .recordLostConnection(
              request.fingerprint(),
              server.entry().id(),
              server.entry().incarnation(),
              System.nanoTime());
    }
  }

  /** Gives up the present server: its load no longer counts the request. */
  final void releaseServer() {
    if (server != null) {
      server.load().removeOwnWork(charge);
      charge = OutstandingWork.NONE;
      server = null;
      connection = null;
      context.state().pumpAll();
    }
  }

  /** Assigns a server whose load already counts the given work. */
  final void assignServer(BackendServer assigned, OutstandingWork work) {
    server = assigned;
    charge = work;
    tried.add(assigned.entry().id());
  }

  /** Changes the work that the present server is charged with. */
  final void recharge(OutstandingWork work) {
    if (server != null) {
      server.load().removeOwnWork(charge);
      server.load().addOwnWork(work);
      charge = work;
    }
  }

  /** The work that the present server is charged with. */
  final OutstandingWork charge() {
    return charge;
  }

  /** The request did not run at the server that was tried last; another one may take it. */
  final void onNotRun(Step step, String reason) {
    refusedAttempts++;
    if (refusedAttempts > MAX_REFUSED_ATTEMPTS
        || !dispatcher.retries().tryRetry(context.state().instances(), System.nanoTime())) {
      refuse(step, reason);
      return;
    }
    retry(reason);
  }

  /** Whether the request may be sent to one more server after it may have run. */
  final boolean takeRetry() {
    return !callerGone
        && route.repeatability().repeatable()
        && runs < route.maxAttempts() + refusedAttempts
        && dispatcher.retries().tryRetry(context.state().instances(), System.nanoTime());
  }

  /** Gives up the present server and looks for another one. */
  final void retry(String reason) {
    logRetry(reason);
    releaseServer();
    enterLine();
  }

  private void onWaitEnd() {
    if (!finished && place.isPresent()) {
      refuse(Step.ADMIT, "no room at any backend server");
    }
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    if (runs == 0 || (server == null && runs == refusedAttempts)) {
      refuse(Step.ADMIT, "time limit reached before the request was sent");
    } else {
      onTimeLimit();
    }
  }

  /** The time limit passed while a server was at work. */
  abstract void onTimeLimit();

  /** Whether the caller gets nothing more. */
  final boolean finished() {
    return finished;
  }

  /** Whether the caller closed its connection. */
  final boolean callerGone() {
    return callerGone;
  }

  @Override
  public void onWritableChanged(boolean writable) {}

  @Override
  public final void onCallerLeft() {
    if (finished) {
      return;
    }
    callerGone = true;
    context
        .events()
        .record(EventType.CALLER_LEFT, subject(), request.id(), serverName(), eventCount());
    if (connection == null) {
      finish();
    } else if (route.repeatability() != Repeatability.AT_MOST_ONCE) {
      connection.abandon();
      finish();
    }
  }

  /** Refuses a request that has not run and will not run. */
  final void refuse(Step step, String reason) {
    if (finished) {
      return;
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    context.codec().addRetryDelay(headers, retryDelaySeconds());
    answerOwn(503, headers, step, reason);
  }

  private double retryDelaySeconds() {
    double base = route.targetLatency().toMillis() / 1_000.0;
    return base * (0.5 + context.random().nextDouble());
  }

  /** Answers with a status of the system itself. */
  final void answerOwn(int status, HttpHeaders headers, Step step, String reason) {
    logOwnAnswer(status, step, reason);
    if (!callerGone) {
      caller.answerReason(status, headers, reason);
    }
    finish();
  }

  private void logOwnAnswer(int status, Step step, String reason) {
    context.metrics().counter("forward.answers." + status).inc();
    if (status == 503) {
      context.recordRefused(subject(), request.id(), status, step, reason, dispatcher.waiting());
    } else {
      recordFailed(status, step, reason);
    }
  }

  /** Records that the caller gets no complete answer of a server. */
  final void recordFailed(int status, Step step, String reason) {
    context
        .events()
        .record(
            EventType.REQUEST_FAILED,
            subject(),
            request.id(),
            status,
            serverName(),
            eventCount(),
            step + ": " + reason);
  }

  /** Counts and records the complete answer of a server. */
  final void recordFinished(int status, long firstEventMillis) {
    context.metrics().counter("forward.answers." + status).inc();
    context
        .events()
        .record(
            EventType.REQUEST_FINISHED,
            subject(),
            request.id(),
            status,
            serverName(),
            elapsedMillis(),
            firstEventMillis,
            eventCount());
  }

  /** Ends the exchange: timers, place in the line and load are given back. */
  final void finish() {
    if (finished) {
      return;
    }
    finished = true;
    deadlineTimer.cancel(false);
    if (waitTimer != null) {
      waitTimer.cancel(false);
    }
    place.ifPresent(dispatcher::withdraw);
    place = Optional.empty();
    onFinished();
    releaseServer();
    endListener.run();
  }

  /** Calls a listener once when the exchange ends. */
  final void onEnd(Runnable listener) {
    endListener = listener;
  }

  /** Called once when the exchange ends. */
  void onFinished() {}

  /** Number of events that the caller got. */
  int eventCount() {
    return 0;
  }

  final String serverName() {
    return server == null ? "none" : server.entry().id();
  }

  final EventSubject subject() {
    return EventSubject.request(request.id(), holder.map(KeyHolder::workspace).orElse(""))
        .withServer(serverName());
  }

  final long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivedNanos);
  }

  private void logSent() {
    OutstandingWork total = server.load().totalWork();
    context
        .events()
        .record(
            EventType.REQUEST_SENT,
            subject(),
            request.id(),
            route.name(),
            serverName(),
            runs,
            total.requests(),
            total.pendingPrefillTokens(),
            total.memoryTokens(),
            elapsedMillis());
  }

  private void logRetry(String reason) {
    context
        .events()
        .record(EventType.REQUEST_RETRIED, subject(), request.id(), serverName(), reason);
  }

  /**
   * How a request starts at a server.
   *
   * @param lastEventId event after which the stream goes on
   * @param memory memory that the engine goes on from
   */
  record ForwardingStart(Optional<String> lastEventId, Optional<MemoryReference> memory) {
    /** From the beginning. */
    static final ForwardingStart FRESH = new ForwardingStart(Optional.empty(), Optional.empty());
  }
}
