package org.basilport.gateway.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilport.error.Step;
import org.basilport.event.EventType;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.message.MemoryReference;
import org.basilport.gateway.message.MoveResult;
import org.basilport.policy.dispatch.CopyHolderSelector;
import org.basilport.policy.dispatch.RequestDemand;
import org.basilport.policy.dispatch.WorkShare;

/**
 * Keeps a copy of a generation at a second engine, and continues from it when the first one fails.
 *
 * <p>A generation must not go on at two engines. Before it continues, its engine is asked to stop
 * it: an engine that cannot be reached, or that knows no such generation, does not run it.
 */
final class CopyRecovery {
  private static final int NO_SUCH_GENERATION = 404;

  /** Orders without an answer before the generation is given up. */
  private static final int MAX_ORDERS = 3;

  /** Pause between orders: an engine that just failed refuses connections soon. */
  private static final long ORDER_PAUSE_MILLIS = 50;

  private final ForwardingContext context;
  private final StreamedExchange exchange;
  private Optional<BackendServer> holder = Optional.empty();
  private WorkShare charge = WorkShare.NONE;
  private int orders;

  CopyRecovery(ForwardingContext context, StreamedExchange exchange) {
    this.context = context;
    this.exchange = exchange;
  }

  /** Chooses the engine that keeps a copy of a generation that is about to be sent. */
  void chooseHolder(long memoryTokens) {
    release();
    RequestDemand demand = new RequestDemand(0, memoryTokens);
    holder = exchange.dispatcher.choose(new CopyHolderSelector(), demand, exchange);
    charge = new WorkShare(0, 0, memoryTokens);
    holder.ifPresent(engine -> engine.load().add(charge));
  }

  /** Address of the engine that keeps the copy. */
  Optional<String> address() {
    return holder.map(engine -> engine.entry().address());
  }

  /** Continues from the copy, or gives the generation up. */
  void start(Step step, String reason) {
    BackendServer source = exchange.server;
    if (holder.isEmpty() || holder.get().load().leaving() || source == null) {
      exchange.lose(step, reason);
      return;
    }
    exchange.connection = null;
    orders = 0;
    context
        .events()
        .record(
            EventType.MOVE_STARTED,
            exchange.subject(),
            exchange.request.id(),
            source.entry().id(),
            holder.get().entry().id(),
            exchange.eventCount(),
            reason);
    stopSource(source, step, reason);
  }

  private void stopSource(BackendServer source, Step step, String reason) {
    if (exchange.finished() || holder.isEmpty()) {
      return;
    }
    orders++;
    MoveOrder.send(
        context,
        source,
        holder.get(),
        exchange.request.id(),
        true,
        result -> onStopped(source, result, step, reason));
  }

  private void onStopped(BackendServer source, MoveResult result, Step step, String reason) {
    if (exchange.finished() || holder.isEmpty()) {
      return;
    }
    BackendServer next = holder.get();
    if (result.copied()) {
      goOn(next, new MemoryReference(source.entry().address(), result.handle().orElseThrow()));
    } else if (result.equals(MoveResult.UNREACHABLE) || result.status() == NO_SUCH_GENERATION) {
      goOn(next, new MemoryReference(next.entry().address(), exchange.request.id()));
    } else if (result.equals(MoveResult.UNANSWERED) && orders < MAX_ORDERS) {
      context
          .eventLoop()
          .schedule(
              () -> stopSource(source, step, reason), ORDER_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      exchange.lose(step, reason + "; the engine answered " + result.status());
    }
  }

  private void goOn(BackendServer next, MemoryReference memory) {
    WorkShare work = exchange.remainingWork();
    release();
    next.load().add(work);
    exchange.continueAt(next, work, memory);
  }

  /** Gives the memory of the copy back. */
  void release() {
    holder.ifPresent(engine -> engine.load().remove(charge));
    holder = Optional.empty();
    charge = WorkShare.NONE;
  }
}
