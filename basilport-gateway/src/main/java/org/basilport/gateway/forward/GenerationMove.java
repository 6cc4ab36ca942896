package org.basilport.gateway.forward;

import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.basilport.error.Step;
import org.basilport.event.EventType;
import org.basilport.gateway.backend.BackendConnection;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.config.EngineCapacity;
import org.basilport.gateway.message.KvCacheReference;
import org.basilport.gateway.message.MoveResult;
import org.basilport.policy.dispatch.GenerationHandover;
import org.basilport.policy.dispatch.MoveTargetSelector;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.RequestDemand;
import org.basilport.policy.dispatch.ServerSelector;

/**
 * Moves a running generation from a leaving engine to another engine.
 *
 * <p>The KV cache is copied twice, as in a pre-copy live migration: first while the generation
 * continues, then, after it has stopped, only the difference. The stream pauses for the duration of
 * the second copy. {@link org.basilport.policy.dispatch.MoveSchedule} staggers the moves of one
 * engine.
 *
 * <p>The generation is stopped only when a connection to the target is open. If the target is lost
 * nevertheless, the generation resumes at its source, which keeps the KV cache. {@link
 * GenerationHandover} decides who goes on with it.
 */
final class GenerationMove {
  /** Delay between attempts; a leaving engine terminates after about 2 s. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time between the answer to the last copy and the end of the stopped stream. */
  private static final long STREAM_END_TIMEOUT_MILLIS = 100;

  /** Time within which a request reaches an engine after the decision to send it. */
  private static final Duration SEND_MARGIN = Duration.ofMillis(200);

  /** Number of attempts after which the generation stays at its engine. */
  private static final int MAX_ATTEMPTS = 8;

  /** Status of a copy whose source runs no such generation. */
  private static final int NO_SUCH_RUN = 404;

  private record UnusedCopy(BackendServer source, KvCacheReference kvCache) {}

  private enum State {
    IDLE,
    COPYING,
    CONNECTING,
    STOPPING,
    ENDED
  }

  private final ForwardingContext context;
  private final StreamedExchange exchange;
  private State state = State.IDLE;
  private BackendServer source;
  private final Set<String> refusedBy = new HashSet<>();
  private final GenerationHandover handover = new GenerationHandover();
  private BackendServer target;
  private OutstandingWork reservedWork = OutstandingWork.NONE;
  private Optional<String> handle = Optional.empty();
  private Optional<BackendConnection> targetConnection = Optional.empty();

  /** Copy whose handle no engine has used yet. */
  private Optional<UnusedCopy> unusedCopy = Optional.empty();

  private ScheduledFuture<?> pendingStart;
  private long stopNanos;
  private int attempts;

  /** Number of resets; results of requests that were sent before the latest reset are ignored. */
  private int epoch;

  GenerationMove(ForwardingContext context, StreamedExchange exchange) {
    this.context = context;
    this.exchange = exchange;
  }

  /** Whether the source engine was requested to stop the generation. */
  boolean stopping() {
    return state == State.STOPPING;
  }

  /** Schedules the move after the delay that was assigned for the engine's network link. */
  void startAfter(long delayNanos) {
    BackendServer leaving = exchange.server;
    if (leaving.engine().filter(EngineCapacity::movesGenerations).isEmpty()) {
      return;
    }
    pendingStart =
        context
            .eventLoop()
            .schedule(
                () -> {
                  if (exchange.server == leaving) {
                    start();
                  }
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
  }

  private void start() {
    if (state != State.IDLE
        || exchange.finished()
        || exchange.server == null
        || !exchange.server.load().leaving()) {
      return;
    }
    if (unusedCopy.isPresent()) {
      scheduleStart();
      return;
    }
    source = exchange.server;
    Optional<BackendServer> chosen = chooseTarget();
    if (chosen.isEmpty()) {
      fail(Step.LOCATE, "no engine has room");
      return;
    }
    target = chosen.get();
    reservedWork = exchange.remainingWork();
    target.load().addOwnWork(reservedWork);
    state = State.COPYING;
    record(EventType.MOVE_STARTED, "engine is leaving");
    requestCopy(false);
  }

  private Optional<BackendServer> chooseTarget() {
    MoveTargetSelector selector =
        new MoveTargetSelector(source.entry().dataCentre(), context.random());
    RequestDemand demand = new RequestDemand(0, exchange.remainingWork().memoryTokens());
    ServerSelector notRefused =
        (candidates, needed, now) ->
            selector.select(
                candidates.stream().filter(load -> !refusedBy.contains(load.id())).toList(),
                needed,
                now);
    return exchange
        .dispatcher
        .choose(notRefused, demand, exchange)
        .or(() -> exchange.dispatcher.chooseAmongAllServers(notRefused, demand, exchange));
  }

  private void requestCopy(boolean finalCopy) {
    int requestedEpoch = epoch;
    MoveRequest.send(
        context,
        source,
        target,
        exchange.request.id(),
        finalCopy,
        result -> {
          if (requestedEpoch == epoch) {
            onResult(finalCopy, result);
          }
        });
  }

  private void onResult(boolean finalCopy, MoveResult result) {
    if (state == State.ENDED) {
      return;
    }
    if (!finalCopy) {
      if (result.copied()) {
        connectToTarget();
      } else {
        rejectTarget(Step.SEND, "copy answered " + result.status());
      }
      return;
    }
    handle = result.handle();
    carryOut(
        handover.onLastCopy(lastCopy(result), availability()),
        "last copy answered " + result.status());
  }

  private static GenerationHandover.LastCopy lastCopy(MoveResult result) {
    if (result.copied()) {
      return GenerationHandover.LastCopy.COPIED;
    }
    if (result.handle().isPresent()) {
      return GenerationHandover.LastCopy.KEPT_AT_SOURCE;
    }
    return result.status() == NO_SUCH_RUN
        ? GenerationHandover.LastCopy.NO_SUCH_RUN
        : GenerationHandover.LastCopy.UNKNOWN;
  }

  private GenerationHandover.Availability availability() {
    return availability(target, source);
  }

  private GenerationHandover.Availability availability(
      BackendServer possibleTarget, BackendServer possibleSource) {
    return new GenerationHandover.Availability() {
      @Override
      public boolean target() {
        return possibleTarget != null
            && mayResumeAt(possibleTarget)
            && permitsContinuation(possibleTarget);
      }

      @Override
      public boolean source() {
        return possibleSource != null && mayResumeAt(possibleSource);
      }
    };
  }

  private void carryOut(GenerationHandover.Decision decision, String reason) {
    switch (decision) {
      case STAY:
        releaseTarget();
        state = State.IDLE;
        fail(Step.SEND, reason);
        break;
      case FINISH:
        exchange.finishStream();
        break;
      case CONTINUE_AT_TARGET:
        resumeFromCopy();
        break;
      case CONTINUE_AT_SOURCE:
        refusedBy.add(target.entry().id());
        releaseTarget();
        target = source;
        reservedWork = exchange.remainingWork();
        target.load().addOwnWork(reservedWork);
        resumeFromCopy();
        break;
      case BREAK_OFF:
        reset();
        handover.restart();
        exchange.resumeOrFail("engine stopped the generation: " + reason);
        break;
      default:
        if (state == State.STOPPING && handle.isPresent()) {
          limitWaitForStreamEnd();
        }
        break;
    }
  }

  /** Opens the connection on which the generation is resumed, then stops the generation. */
  private void connectToTarget() {
    state = State.CONNECTING;
    int requestedEpoch = epoch;
    BackendServer connecting = target;
    connecting
        .connections()
        .acquire(
            exchange.request.id(),
            opened -> {
              if (requestedEpoch != epoch || state != State.CONNECTING) {
                opened.release();
                return;
              }
              if (connecting.load().admission().refusesAll(System.nanoTime())
                  || !exchange.regions().permit(connecting)
                  || !permitsContinuation(connecting)) {
                opened.release();
                rejectTarget(Step.CONNECT, "target takes no requests any more");
                return;
              }
              targetConnection = Optional.of(opened);
              state = State.STOPPING;
              handover.beginStop();
              stopNanos = System.nanoTime();
              requestCopy(true);
            },
            reason -> {
              exchange.crashGuard.onUnreachable(connecting, reason);
              if (requestedEpoch == epoch && state == State.CONNECTING) {
                rejectTarget(Step.CONNECT, reason);
              }
            });
  }

  /** Gives up a target that cannot receive the generation, which continues at its source. */
  private void rejectTarget(Step step, String reason) {
    refusedBy.add(target.entry().id());
    fail(step, reason);
    releaseTarget();
    state = State.IDLE;
  }

  /**
   * Called when the stream of the engine that runs the generation has ended; delivers the stream if
   * it is complete.
   */
  void onStreamEnded(GenerationHandover.StreamEnd end) {
    carryOut(handover.onStreamEnd(end, availability()), "stream ended");
  }

  /** Waits a limited time for the end of the stream, which a hanging source does not send. */
  private void limitWaitForStreamEnd() {
    int stoppedEpoch = epoch;
    context
        .eventLoop()
        .schedule(
            () -> {
              if (stoppedEpoch == epoch && state == State.STOPPING) {
                exchange.connection.abandon();
                onStreamEnded(GenerationHandover.StreamEnd.BROKEN);
              }
            },
            STREAM_END_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Sends the continuation to the engine that is now the target. */
  private void resumeFromCopy() {
    long pause = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopNanos);
    context
        .events()
        .record(
            EventType.MOVE_FINISHED,
            exchange.recorder.subject(),
            exchange.request.id(),
            source.entry().id(),
            target.entry().id(),
            exchange.eventCount(),
            pause);
    context.metrics().histogram("forward.move_pause_ms").update(pause);
    KvCacheReference kvCache = new KvCacheReference(source.entry().address(), handle.get());
    OutstandingWork work = reservedWork;
    BackendServer nextServer = target;
    reservedWork = OutstandingWork.NONE;
    target = null;
    handle = Optional.empty();
    if (nextServer != source) {
      attempts = 0;
    }
    state = State.IDLE;
    unusedCopy = Optional.of(new UnusedCopy(source, kvCache));
    Optional<BackendConnection> connection = targetConnection;
    targetConnection = Optional.empty();
    exchange.resumeAt(nextServer, work, kvCache, connection);
  }

  /**
   * Resumes the generation at its source after another engine could not use the copy.
   *
   * @param failed engine that could not be reached or has not executed the request
   * @return whether the generation is resumed; false without an unused copy, or if the source
   *     itself failed
   */
  boolean resumeAtSource(BackendServer failed, String reason) {
    if (unusedCopy.isEmpty() || !handover.continuing()) {
      return false;
    }
    UnusedCopy copy = unusedCopy.get();
    GenerationHandover.Decision decision =
        handover.onContinuationNotExecuted(availability(null, copy.source()));
    if (decision != GenerationHandover.Decision.CONTINUE_AT_SOURCE) {
      return false;
    }
    refusedBy.add(failed.entry().id());
    recordFailure(failed, Step.CONNECT, reason + "; resuming at the source");
    OutstandingWork work = exchange.remainingWork();
    copy.source().load().addOwnWork(work);
    exchange.resumeAt(copy.source(), work, copy.kvCache(), Optional.empty());
    return true;
  }

  private boolean mayResumeAt(BackendServer server) {
    return !server.load().admission().evacuated()
        && server.leavingForLessThan(context.limits().drainPeriod().minus(SEND_MARGIN))
        && exchange.regions().permit(server);
  }

  /** Whether the target is warm or this instance has a permit for it, which the send takes. */
  private boolean permitsContinuation(BackendServer server) {
    return context.state().servers().coldStarts().permitsSend(server.entry(), System.nanoTime());
  }

  /** Called when an engine runs the generation or may have used the handle of the copy. */
  void onCopyUsed() {
    unusedCopy = Optional.empty();
    if (!handover.stopping()) {
      handover.restart();
    }
  }

  private void fail(Step step, String reason) {
    recordFailure(target, step, reason);
    attempts++;
    if (attempts < MAX_ATTEMPTS) {
      scheduleStart();
    }
  }

  private void scheduleStart() {
    pendingStart =
        context.eventLoop().schedule(this::start, RETRY_DELAY_NANOS, TimeUnit.NANOSECONDS);
  }

  private void recordFailure(BackendServer failed, Step step, String reason) {
    context
        .events()
        .record(
            EventType.MOVE_FAILED,
            exchange.recorder.subject(),
            exchange.request.id(),
            source.entry().id(),
            failed == null ? "none" : failed.entry().id(),
            step,
            reason);
  }

  private void releaseTarget() {
    releaseTargetConnection();
    if (target != null) {
      target.load().removeOwnWork(reservedWork);
      reservedWork = OutstandingWork.NONE;
      target = null;
    }
  }

  private void releaseTargetConnection() {
    targetConnection.ifPresent(BackendConnection::release);
    targetConnection = Optional.empty();
  }

  private void record(EventType type, String reason) {
    context
        .events()
        .record(
            type,
            exchange.recorder.subject(),
            exchange.request.id(),
            source.entry().id(),
            target.entry().id(),
            exchange.eventCount(),
            reason);
  }

  /** Abandons a move in progress because the generation was resumed at another engine. */
  void reset() {
    if (state == State.ENDED) {
      return;
    }
    epoch++;
    if (pendingStart != null) {
      pendingStart.cancel(false);
    }
    releaseTarget();
    handle = Optional.empty();
    state = State.IDLE;
  }

  /** Abandons the move because the exchange has ended. */
  void cancel() {
    state = State.ENDED;
    if (pendingStart != null) {
      pendingStart.cancel(false);
    }
    releaseTarget();
  }
}
