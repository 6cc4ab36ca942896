package org.basilport.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.basilport.config.ConfigurationView;
import org.basilport.config.Deployment;
import org.basilport.engine.EngineReport;
import org.basilport.engine.ModelEngineConnector;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.misc.Deadline;
import org.basilport.misc.Scheduler;
import org.basilport.service.ServiceReplicaConnector;

/** Asks backend servers for their reports, a bounded number at a time; control thread only. */
final class BackendPoller {
  private static final Duration REPORT_LIMIT = Duration.ofSeconds(2);
  private static final int MAX_POLLS_PER_ROUND = 32;

  private final BackendRegistry registry;
  private final ConfigurationView configuration;
  private final ModelEngineConnector engines;
  private final ServiceReplicaConnector services;
  private final Scheduler control;
  private final Consumer<BackendServer> restarted;
  private final Runnable changed;
  private int cursor;

  /**
   * Creates a poller.
   *
   * @param restarted receives a server whose report has a larger incarnation than the known one
   * @param changed runs after a report or a refusal was taken over
   */
  BackendPoller(
      BackendRegistry registry,
      ConfigurationView configuration,
      ModelEngineConnector engines,
      ServiceReplicaConnector services,
      Scheduler control,
      Consumer<BackendServer> restarted,
      Runnable changed) {
    this.registry = registry;
    this.configuration = configuration;
    this.engines = engines;
    this.services = services;
    this.control = control;
    this.restarted = restarted;
    this.changed = changed;
  }

  /** Polls the next servers in turn; with few servers, all of them. */
  void poll() {
    Optional<Deployment> deployment =
        configuration.current().map(accepted -> accepted.deployment());
    if (deployment.isEmpty()) {
      return;
    }
    List<BackendRecord> all = new ArrayList<>(registry.records());
    int polls = Math.min(all.size(), MAX_POLLS_PER_ROUND);
    for (int i = 0; i < polls; i++) {
      BackendRecord record = all.get((cursor + i) % all.size());
      if (!record.polling()) {
        poll(record, deployment.get());
      }
    }
    cursor = all.isEmpty() ? 0 : (cursor + polls) % all.size();
  }

  private void poll(BackendRecord record, Deployment deployment) {
    BackendServer server = record.server();
    if (deployment.modelService(server.service()).isPresent()) {
      record.polling(true);
      limit(server, engines.connect(server.address()).report())
          .whenCompleteAsync((report, failure) -> engineAnswer(record, report, failure), control);
    } else if (deployment.applicationService(server.service()).isPresent()) {
      record.polling(true);
      limit(server, services.connect(server.address()).report())
          .whenCompleteAsync(
              (report, failure) -> {
                if (failure == null) {
                  answer(record, report.incarnation(), report.leaving());
                } else {
                  failed(record, failure);
                }
              },
              control);
    }
  }

  private void engineAnswer(BackendRecord record, EngineReport report, Throwable failure) {
    if (failure != null) {
      failed(record, failure);
      return;
    }
    if (report.incarnation() == record.server().incarnation()) {
      record.report(report);
    }
    answer(record, report.incarnation(), report.leaving());
    if (report.incarnation() == record.server().incarnation()) {
      registry.reported(record);
    }
  }

  private void answer(BackendRecord record, long incarnation, boolean leaving) {
    record.polling(false);
    BackendServer server = record.server();
    if (!current(record) || incarnation < server.incarnation()) {
      return;
    }
    if (incarnation > server.incarnation()) {
      restarted.accept(
          new BackendServer(
              server.id(),
              incarnation,
              server.service(),
              server.region(),
              server.dataCentre(),
              server.address(),
              leaving));
    } else {
      registry.answered(record);
      if (leaving) {
        registry.markLeaving(server.id(), incarnation, "its report");
      }
    }
    changed.run();
  }

  private void failed(BackendRecord record, Throwable failure) {
    record.polling(false);
    BasilportException cause =
        BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.CONNECT);
    boolean refused = cause.outcome() == Outcome.NOT_RUN && cause.code() != FailureCode.TIMEOUT;
    if (refused && current(record)) {
      registry.refused(record);
      changed.run();
    }
  }

  private boolean current(BackendRecord record) {
    return registry.find(record.server().id()).filter(known -> known == record).isPresent();
  }

  private <T> CompletableFuture<T> limit(BackendServer server, CompletableFuture<T> report) {
    return Deadline.limit(
        report,
        control,
        REPORT_LIMIT,
        () ->
            new UnavailableException(
                FailureCode.TIMEOUT,
                Outcome.MAY_HAVE_RUN,
                Step.CONNECT,
                server.id(),
                null,
                "backend server " + server.id() + " did not report in time",
                null));
  }
}
