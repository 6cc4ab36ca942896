package org.basilport.daemon.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.basilport.backend.BackendServer;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ConfigurationChange;
import org.basilport.config.Deployment;
import org.basilport.config.HistoryEntry;
import org.basilport.daemon.TimelineCollector;
import org.basilport.engine.EngineReport;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.membership.Member;
import org.basilport.protocol.TimelineQuery;
import org.basilport.router.Router;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** Handlers of the operator API; every request must carry the operator key. */
final class OperatorHandlers {
  private static final int ACCEPTED = 202;
  private static final long DEFAULT_LIMIT = 1_000;
  private static final long MAX_LIMIT = 10_000;

  private final Router router;
  private final TimelineCollector timeline;
  private final OperatorActions actions;
  private final RequestReader reader;
  private final Responder responder;
  private final byte[] operatorKey;

  OperatorHandlers(
      Router router,
      TimelineCollector timeline,
      OperatorActions actions,
      RequestReader reader,
      Responder responder,
      String operatorKey) {
    this.router = router;
    this.timeline = timeline;
    this.actions = actions;
    this.reader = reader;
    this.responder = responder;
    this.operatorKey = operatorKey.getBytes(StandardCharsets.UTF_8);
  }

  void addTo(Chain chain) throws Exception {
    chain.prefix("v1/operator", this::addOperatorRoutes);
  }

  private void addOperatorRoutes(Chain chain) {
    chain
        .all(this::requireOperatorKey)
        .path("config", this::handleConfiguration)
        .post("config/validate", this::validate)
        .get("config/status", this::status)
        .get("config/history", this::history)
        .get("instances", context -> responder.send(context, router.membership().members()))
        .get("engines", this::engines)
        .get("orders", context -> responder.send(context, router.orders()))
        .get("requests", context -> responder.send(context, router.activeRequests()))
        .get("timeline", this::timeline)
        .post("drain", this::drain);
  }

  /** Compares in constant time, so that the response time reveals nothing about the key. */
  private void requireOperatorKey(Context context) {
    String presentedKey =
        reader
            .header(context, RequestReader.OPERATOR_KEY)
            .orElseThrow(
                () ->
                    new RejectedException(
                        FailureCode.UNAUTHENTICATED,
                        Step.AUTHENTICATE,
                        "missing header " + RequestReader.OPERATOR_KEY));
    if (!MessageDigest.isEqual(presentedKey.getBytes(StandardCharsets.UTF_8), operatorKey)) {
      throw new RejectedException(FailureCode.FORBIDDEN, Step.AUTHENTICATE, "wrong operator key");
    }
    context.next();
  }

  private void handleConfiguration(Context context) throws Exception {
    context.byMethod(
        methods -> methods.get(() -> configuration(context)).post(() -> apply(context)));
  }

  private void configuration(Context context) {
    AcceptedConfiguration current =
        router
            .configuration()
            .current()
            .orElseThrow(
                () ->
                    new RejectedException(
                        FailureCode.NOT_FOUND, Step.CONFIGURE, "no configuration is in force"));
    responder.send(context, ConfigurationBody.of(current));
  }

  private void apply(Context context) {
    reader
        .json(context, ConfigurationChange.class)
        .flatMap(change -> responder.toPromise(() -> router.applyConfiguration(change)))
        .then(accepted -> responder.send(context, ConfigurationBody.of(accepted)));
  }

  private void validate(Context context) {
    reader
        .json(context, Deployment.class)
        .then(deployment -> responder.send(context, problems(deployment)));
  }

  private ProblemsBody problems(Deployment deployment) {
    List<String> problems = actions.problems(deployment);
    return new ProblemsBody(problems.isEmpty(), problems);
  }

  private void status(Context context) {
    Optional<AcceptedConfiguration> current = router.configuration().current();
    List<InstanceStatus> instances =
        router.membership().members().stream().map(InstanceStatus::of).toList();
    responder.send(
        context, new StatusBody(current.map(AcceptedConfiguration::number).orElse(0L), instances));
  }

  private void history(Context context) {
    responder
        .toPromise(() -> router.configurations().history())
        .then((List<HistoryEntry> entries) -> responder.send(context, entries));
  }

  private void engines(Context context) {
    responder.send(
        context,
        router.backends().servers().stream()
            .map(server -> new EngineBody(server, report(server)))
            .toList());
  }

  private EngineReport report(BackendServer server) {
    return router.backends().latestReport(server.id()).orElse(null);
  }

  private void timeline(Context context) {
    long limit = reader.numberParameter(context, "limit", DEFAULT_LIMIT);
    TimelineQuery query =
        TimelineQuery.newBuilder()
            .setRequestId(reader.parameter(context, "request"))
            .setWorkspace(reader.parameter(context, "workspace"))
            .setServerId(reader.parameter(context, "server"))
            .setFromMillis(reader.numberParameter(context, "from", 0))
            .setToMillis(reader.numberParameter(context, "to", Long.MAX_VALUE))
            .setLimit((int) Math.max(1, Math.min(limit, MAX_LIMIT)))
            .build();
    responder
        .toPromise(() -> timeline.collect(query))
        .then(merged -> responder.send(context, merged));
  }

  private void drain(Context context) {
    reader
        .json(context, DrainBody.class)
        .then(
            body -> {
              actions.drain(body.reason());
              responder.send(context, ACCEPTED, body);
            });
  }

  /** An accepted configuration. */
  record ConfigurationBody(
      long number, String applyId, String author, String acceptedAt, Deployment deployment) {
    static ConfigurationBody of(AcceptedConfiguration accepted) {
      return new ConfigurationBody(
          accepted.number(),
          accepted.applyId(),
          accepted.author(),
          accepted.acceptedAt().toString(),
          accepted.deployment());
    }
  }

  /** Result of a validation; empty problems for a valid configuration. */
  record ProblemsBody(boolean valid, List<String> problems) {}

  /**
   * Number of the configuration in force on this instance, 0 for none, and the status of all
   * instances.
   */
  record StatusBody(long number, List<InstanceStatus> instances) {}

  /** Status of an instance, with the number of its configuration in force. */
  record InstanceStatus(String id, String status, String health, long configurationNumber) {
    static InstanceStatus of(Member member) {
      return new InstanceStatus(
          member.id(),
          member.status().name(),
          member.health().name(),
          member.configurationNumber());
    }
  }

  /** A backend server with its latest report, null when there is none. */
  record EngineBody(BackendServer server, EngineReport report) {}

  /** Reason for a drain. */
  record DrainBody(String reason) {}
}
