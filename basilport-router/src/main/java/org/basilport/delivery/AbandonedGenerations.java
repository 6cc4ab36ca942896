package org.basilport.delivery;

import java.time.Duration;
import org.basilport.backend.BackendListener;
import org.basilport.backend.BackendServer;
import org.basilport.engine.EngineReport;
import org.basilport.engine.ModelEngine;
import org.basilport.engine.RunningGeneration;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.membership.MembershipView;

/**
 * Cancels generations that nobody reads, at the backend servers that this instance owns. Two
 * instances that both believe to be the owner cancel the same generations.
 */
final class AbandonedGenerations implements BackendListener {
  private static final int MAX_CANCELS_PER_REPORT = 64;

  private final DeliveryEnvironment environment;
  private final MembershipView membership;

  AbandonedGenerations(DeliveryEnvironment environment, MembershipView membership) {
    this.environment = environment;
    this.membership = membership;
  }

  @Override
  public void onLoadReport(BackendServer server, EngineReport report) {
    boolean owned =
        membership
            .owner(server.id())
            .filter(owner -> owner.id().equals(membership.self().id()))
            .isPresent();
    if (!owned) {
      return;
    }
    Duration window = environment.resumeWindow();
    report.running().stream()
        .filter(generation -> generation.unattachedMillis() > window.toMillis())
        .limit(MAX_CANCELS_PER_REPORT)
        .forEach(generation -> cancel(server, generation));
  }

  private void cancel(BackendServer server, RunningGeneration generation) {
    ModelEngine engine = environment.engines().connect(server.address());
    engine
        .cancel(generation.generationId(), true)
        .thenAccept(
            cancelled -> {
              if (cancelled) {
                environment.metrics().count("generation.orphaned", generation.workspace());
                environment
                    .events()
                    .record(
                        EventType.GENERATION_ORPHANED,
                        EventSubject.request(generation.generationId(), generation.workspace()),
                        generation.generationId(),
                        server.id());
              }
            });
  }
}
