package org.basilport.router;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.misc.Scheduler;

/** Drains a router: accepts no new requests and lets the running ones finish or move. */
final class DrainCoordinator {
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

  private final RouterResources resources;
  private final AdmissionController admission;
  private final RouterComponents components;
  private final Scheduler control;
  private final AtomicBoolean started = new AtomicBoolean();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private long startedNanos;
  private boolean handedOver;

  DrainCoordinator(
      RouterResources resources, AdmissionController admission, RouterComponents components) {
    this.resources = resources;
    this.admission = admission;
    this.components = components;
    this.control = resources.control();
  }

  /** Starts the drain on the first call; the result completes when no requests remain. */
  CompletableFuture<Void> drain(String reason) {
    if (started.compareAndSet(false, true)) {
      admission.startDraining();
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
    components.generations().rejectQueuedAndNew(alternativeAddresses());
    checkProgress();
  }

  private void checkProgress() {
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
      components.generations().handOver(alternativeAddresses());
    }
    control.schedule(CHECK_INTERVAL, this::checkProgress);
  }

  private List<String> alternativeAddresses() {
    return admission.alternativeAddresses("", "");
  }
}
