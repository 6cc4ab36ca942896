package org.basilport.router;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.misc.Scheduler;

/** Shuts a router down without cutting off a request. */
final class DrainCoordinator {
  private static final Duration CHECK = Duration.ofMillis(50);

  private final RouterResources resources;
  private final RequestGate gate;
  private final RouterComponents components;
  private final Scheduler control;
  private final AtomicBoolean started = new AtomicBoolean();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private long startedNanos;
  private boolean handedOver;

  DrainCoordinator(RouterResources resources, RequestGate gate, RouterComponents components) {
    this.resources = resources;
    this.gate = gate;
    this.components = components;
    this.control = resources.control();
  }

  /** Starts the drain once; the result completes when no request is left. */
  CompletableFuture<Void> drain(String reason) {
    if (started.compareAndSet(false, true)) {
      gate.leave();
      control.execute(() -> begin(reason));
    }
    return drained;
  }

  private void begin(String reason) {
    String instanceId = resources.settings().instanceId();
    resources.timeline().record(EventType.INSTANCE_DRAINING, EventSubject.NONE, instanceId, reason);
    startedNanos = control.nanoTime();
    resources.controlPlane().leave();
    components.drainJobs();
    components.generations().refuseQueuedAndNew(otherAddresses());
    check();
  }

  private void check() {
    boolean empty =
        components.generations().activeRequestIds().isEmpty()
            && components.calls().activeRequestIds().isEmpty()
            && components.jobs().idle();
    if (empty) {
      drained.complete(null);
      return;
    }
    long limitNanos = Duration.ofMillis(resources.settings().drainLimitMillis()).toNanos();
    if (!handedOver && control.nanoTime() - startedNanos >= limitNanos) {
      handedOver = true;
      components.generations().handOver(otherAddresses());
    }
    control.schedule(CHECK, this::check);
  }

  private List<String> otherAddresses() {
    return gate.otherAddresses("", "");
  }
}
