package org.basilport.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.basilport.error.Step;
import org.basilport.gateway.backend.BackendConnection;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.ResponseListener;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.config.Repeatability;
import org.basilport.gateway.frontend.CallerConnectionListener;
import org.basilport.gateway.message.CallerRequest;
import org.basilport.gateway.message.ForwardingDetails;
import org.basilport.gateway.message.ServerResponse;
import org.basilport.policy.dispatch.AttemptHistory;
import org.basilport.policy.dispatch.ContendingRequest;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.RequestDemand;
import org.basilport.policy.dispatch.SendCheck;

/**
 * Handles one request from its arrival to its response: placement, sending, retries and deadline.
 *
 * <p>Confined to the event loop thread. Subclasses deliver the response.
 */
abstract class Exchange implements PlacementRequest, ResponseListener, CallerConnectionListener {
  /**
   * Number of attempts that servers may refuse without executing them before the request is
   * rejected.
   */
  private static final int MAX_REFUSED_ATTEMPTS = 2;

  final ForwardingContext context;
  final CallerRequest request;
  final ForwardingRoute route;
  final Optional<KeyHolder> holder;
  final ResponseChannel caller;
  final ServiceDispatcher dispatcher;
  private final ExchangeTimers timers;
  private final Set<String> triedServerIds = new HashSet<>();
  private Optional<PendingRequestQueue.Entry<PlacementRequest>> queueEntry = Optional.empty();
  private OutstandingWork reservedWork = OutstandingWork.NONE;
  private final AttemptHistory attempts = new AttemptHistory();
  private boolean callerDisconnected;
  private boolean finished;
  private Runnable endListener = () -> {};
  final ExchangeRecorder recorder;
  final CrashGuard crashGuard;
  private final RequestRegions regions;
  BackendServer server;
  BackendConnection connection;

  Exchange(
      ForwardingContext context,
      CallerRequest request,
      ForwardingRoute route,
      Optional<KeyHolder> holder,
      ResponseChannel caller) {
    this.context = context;
    this.request = request;
    this.route = route;
    this.holder = holder;
    this.caller = caller;
    this.crashGuard = new CrashGuard(context.state().servers().crashMonitor(), request.content());
    this.recorder = new ExchangeRecorder(context, this);
    this.regions = context.homeRegions().of(request, route, holder);
    this.dispatcher = context.state().dispatcher(route.serviceFor(request.id()));
    Duration timeout = route.timeLimit(request.callerTimeout());
    this.timers = new ExchangeTimers(context.eventLoop(), timeout, this::onDeadline);
  }

  /** Starts the placement of the request at a backend server. */
  final void start() {
    if (finished) {
      return;
    }
    dispatcher.retryBudget().recordRequest(timers.arrivalNanos());
    timers.startQueueTimeout(
        Math.round(PendingRequestQueue.MAX_WAIT_RATIO * route.targetLatency().toNanos()),
        () -> onHopeless("no room at any backend server"));
    place();
  }

  /** Places the request for the first time. */
  void place() {
    placeOrQueue();
  }

  final void placeOrQueue() {
    if (!RequestAdmission.rejectIfUnservable(this)) {
      dispatcher.submit(this);
    }
  }

  @Override
  public final void onQueued(PendingRequestQueue.Entry<PlacementRequest> entry) {
    queueEntry = Optional.of(entry);
  }

  @Override
  public RequestDemand demand() {
    return request
        .generationSize()
        .map(size -> RequestDemand.generation(size.promptTokens(), size.estimatedOutputTokens()))
        .orElse(RequestDemand.SERVICE_CALL);
  }

  @Override
  public final int priority() {
    return holder
        .filter(keyHolder -> keyHolder.priority() >= 0)
        .map(KeyHolder::priority)
        .orElse(route.priority());
  }

  @Override
  public final ContendingRequest contendingRequest() {
    return ExchangeContention.of(this);
  }

  @Override
  public boolean accepts(BackendServer candidate) {
    return !triedServerIds.contains(candidate.entry().id())
        && regions.permit(candidate)
        && requiredVersion().filter(v -> !v.equals(candidate.entry().version())).isEmpty();
  }

  @Override
  public final RequestRegions regions() {
    return regions;
  }

  @Override
  public final void onNotQueued(String reason) {
    queueEntry = Optional.empty();
    reject(Step.ADMIT, reason);
  }

  @Override
  public final void onHopeless(String reason) {
    if (queueEntry.isPresent() && !responseStarted()) {
      reject(Step.ADMIT, reason);
    }
  }

  @Override
  public final long maxWaitNanos() {
    return timers.maxWaitNanos();
  }

  @Override
  public final void onPlaced(BackendServer chosen) {
    queueEntry = Optional.empty();
    reservedWork = demand().toWork();
    server = chosen;
    if (finished) {
      releaseServer();
      return;
    }
    triedServerIds.add(chosen.entry().id());
    connect(resumePoint());
  }

  /** The point at which the chosen server starts or resumes the request. */
  ResumePoint resumePoint() {
    return ResumePoint.BEGINNING;
  }

  /** Acquires a connection to the assigned server and sends the request. */
  final void connect(ResumePoint resumePoint) {
    BackendServer target = server;
    target
        .connections()
        .acquire(
            request.id(),
            opened -> {
              if (finished || server != target) {
                opened.close();
                return;
              }
              send(opened, resumePoint);
            },
            reason -> {
              crashGuard.onUnreachable(target, reason);
              if (!finished && server == target) {
                onConnectFailed(reason);
              }
            });
  }

  /** Called when no connection to the assigned server could be opened; nothing was sent to it. */
  void onConnectFailed(String reason) {
    onNotExecuted(Step.CONNECT, reason);
  }

  /** Sends the request on a connection to the assigned server. */
  final void send(BackendConnection opened, ResumePoint resumePoint) {
    SendCheck.Result result = SendPermission.check(this, resumePoint);
    if (result != SendCheck.Result.PERMITTED) {
      opened.release();
      SendPermission.refuse(this, result);
      return;
    }
    connection = opened;
    attempts.recordSend(resumePoint.kvCache().isPresent());
    crashGuard.onSent();
    recorder.sent(attempts.sent(), resumePoint);
    beforeSend();
    FullHttpRequest message =
        context.codec().encodeRequest(request, details(resumePoint), server.entry().address());
    opened.send(message, request.id(), new AttemptListener(this, opened));
  }

  /** Time until the deadline. */
  final Duration remaining() {
    return timers.remaining();
  }

  private ForwardingDetails details(ResumePoint resumePoint) {
    return new ForwardingDetails(
        remaining(),
        server.entry().id(),
        holder.map(KeyHolder::workspace),
        resumePoint.lastEventId().or(request::lastEventId),
        resumePoint.kvCache());
  }

  /** Called when the server has begun its response. */
  final void onAnswerStarted(ServerResponse response) {
    crashGuard.onAnswerStarted();
    // An answer that is not the server's own does not tell that its limit has ended.
    if (response.requestLimit().isPresent() || response.signed()) {
      context.state().servers().limits().record(server, response.requestLimit());
    }
  }

  /** Called immediately before the request is sent. */
  void beforeSend() {}

  /**
   * Records that the connection was lost while the server processed the request, which may have
   * crashed it.
   */
  final void recordConnectionLoss() {
    if (server != null && !server.announcedDeparture()) {
      recorder.connectionLost();
      crashGuard.onConnectionLost(server);
    }
  }

  /**
   * Releases the assigned server and removes the request from its load. An attempt that is still in
   * progress there is abandoned.
   */
  final void releaseServer() {
    if (connection != null) {
      connection.abandonRequest();
    }
    if (server != null) {
      server.load().removeOwnWork(reservedWork);
      reservedWork = OutstandingWork.NONE;
      server = null;
      connection = null;
      context.state().placeAllQueued();
    }
  }

  /** Assigns a server whose load already includes the given work. */
  final void assignServer(BackendServer assigned, OutstandingWork work) {
    server = assigned;
    reservedWork = work;
    triedServerIds.add(assigned.entry().id());
  }

  /** Replaces the work that the load of the assigned server includes for this request. */
  final void updateReservation(OutstandingWork work) {
    if (server != null) {
      server.load().removeOwnWork(reservedWork);
      server.load().addOwnWork(work);
      reservedWork = work;
    }
  }

  /** The work that the load of the assigned server includes for this request. */
  final OutstandingWork reservedWork() {
    return reservedWork;
  }

  /** Retries or rejects a request of which the last server has said that it did not execute it. */
  final void onRefusedByServer(String reason) {
    attempts.recordNotExecuted();
    onNotExecuted(Step.SEND, reason);
  }

  /**
   * Retries a request that the last server did not execute, or rejects it when no retry is
   * permitted.
   */
  final void onNotExecuted(Step step, String reason) {
    attempts.recordFailed();
    if (!permitsRun()
        || attempts.failed() > MAX_REFUSED_ATTEMPTS
        || !dispatcher.tryAcquireRetry()) {
      reject(step, reason);
      return;
    }
    retry(reason);
  }

  /**
   * Acquires a retry for a request that may have been executed; false if another attempt is not
   * permitted.
   */
  final boolean tryAcquireRetry() {
    return !callerDisconnected
        && route.repeatability().repeatable()
        && permitsRun()
        && crashGuard.quarantine().isEmpty()
        && dispatcher.hasServerFor(this)
        && dispatcher.tryAcquireRetry();
  }

  /** Called when the request must not be sent to the assigned server any more. */
  void onServerUnavailable(String reason) {
    placeAgain(reason);
  }

  /** Places a request again that was not sent to the assigned server. */
  final void placeAgain(String reason) {
    triedServerIds.remove(serverId());
    retry(reason);
  }

  /** Releases the assigned server and places the request again. */
  final void retry(String reason) {
    recorder.retried(attempts.runs(), reason);
    releaseServer();
    placeOrQueue();
  }

  final void onDeadline() {
    if (finished) {
      return;
    }
    if (!mayHaveBeenExecuted()) {
      reject(Step.ADMIT, "time limit reached before the request was sent");
    } else {
      onTimeout();
    }
  }

  /** Called when the deadline passes while a server processes the request. */
  abstract void onTimeout();

  /** Whether the exchange has ended. */
  final boolean finished() {
    return finished;
  }

  final boolean callerDisconnected() {
    return callerDisconnected;
  }

  @Override
  public void onWritabilityChanged(boolean writable) {}

  @Override
  public final void onCallerDisconnected() {
    if (finished) {
      return;
    }
    callerDisconnected = true;
    recorder.callerLeft();
    if (connection == null) {
      finish();
    } else if (route.repeatability() != Repeatability.AT_MOST_ONCE) {
      connection.abandon();
      finish();
    }
  }

  /**
   * Rejects a request with a delay after which the caller may retry; fails one that a server may
   * have executed, since a rejection states that none has.
   */
  final void reject(Step step, String reason) {
    reject(step, reason, ExchangeContention.retryAfterSeconds(this));
  }

  /** Rejects a request like {@link #reject(Step, String)}, with the given delay. */
  final void reject(Step step, String reason, double retryAfterSeconds) {
    HttpHeaders headers = new DefaultHttpHeaders();
    context.codec().addRetryAfter(headers, retryAfterSeconds);
    reject(step, reason, headers);
  }

  /** Rejects a request without a delay, since the same request cannot be served later either. */
  final void rejectForGood(Step step, String reason) {
    reject(step, reason, new DefaultHttpHeaders());
  }

  private void reject(Step step, String reason, HttpHeaders headers) {
    if (finished) {
      return;
    }
    if (mayHaveBeenExecuted()) {
      sendLocalReply(502, new DefaultHttpHeaders(), step, reason);
    } else {
      sendLocalReply(503, headers, step, reason);
    }
  }

  final boolean mayHaveBeenExecuted() {
    return attempts.runs() > 0;
  }

  /** Whether a server may begin the request, first or again. */
  final boolean permitsRun() {
    return attempts.permitsRun(route.repeatability().repeatable(), route.maxAttempts());
  }

  /** Ends the exchange with a response that the gateway generates itself. */
  final void sendLocalReply(int status, HttpHeaders headers, Step step, String reason) {
    recorder.localReply(status, step, reason);
    if (responseStarted()) {
      caller.abort();
    } else if (!callerDisconnected) {
      caller.sendReason(status, headers, reason);
    }
    finish();
  }

  /** Ends the exchange: cancels its timers, leaves the queue and releases the server. */
  final void finish() {
    if (finished) {
      return;
    }
    finished = true;
    timers.cancel();
    queueEntry.ifPresent(dispatcher::removeQueued);
    queueEntry = Optional.empty();
    onFinished();
    dispatcher.onEnded(this, ExchangeContention.usedTokens(this));
    releaseServer();
    endListener.run();
  }

  /** Sets the listener that is called once when the exchange ends. */
  final void onEnd(Runnable listener) {
    endListener = listener;
  }

  /** Called once when the exchange ends. */
  void onFinished() {}

  /** Whether a part of the response was sent to the caller. */
  boolean responseStarted() {
    return false;
  }

  /** Number of output tokens received from servers for the caller. */
  long outputTokens() {
    return 0;
  }

  /** Number of events received from servers for the caller. */
  int eventCount() {
    return 0;
  }

  final String serverId() {
    return server == null ? "none" : server.entry().id();
  }

  final long elapsedMillis() {
    return timers.elapsedMillis();
  }
}
