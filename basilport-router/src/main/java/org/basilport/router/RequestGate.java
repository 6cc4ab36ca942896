package org.basilport.router;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.Deployment;
import org.basilport.config.Route;
import org.basilport.config.Workspace;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.FailureCode;
import org.basilport.error.LeavingException;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.membership.Member;
import org.basilport.misc.Scheduler;

/** Decides whether a request may enter; safe to use from any thread. */
final class RequestGate {
  /** Largest prompt or body, in bytes of UTF-8. */
  static final int MAX_BODY_BYTES = 512 * 1_024;

  private static final Duration NOT_READY_RETRY = Duration.ofSeconds(1);

  private final InstanceSettings settings;
  private final ControlPlane controlPlane;
  private final WorkspaceLimits limits;
  private volatile boolean leaving;

  RequestGate(InstanceSettings settings, ControlPlane controlPlane, Scheduler clock) {
    this.settings = settings;
    this.controlPlane = controlPlane;
    this.limits = new WorkspaceLimits(clock);
  }

  /** Refuses new requests from now on. */
  void leave() {
    leaving = true;
  }

  boolean leaving() {
    return leaving;
  }

  /** Returns the configuration in force; fails with NOT_READY before the first one. */
  AcceptedConfiguration configuration() {
    Optional<AcceptedConfiguration> inForce = controlPlane.configuration().current();
    if (inForce.isEmpty() || !controlPlane.acceptsRequests()) {
      throw new RejectedException(
          FailureCode.NOT_READY, Step.ADMIT, NOT_READY_RETRY, "the configuration is not known yet");
    }
    return inForce.get();
  }

  /** Returns the workspace of a caller, also while this instance is leaving. */
  Workspace authenticate(Credentials credentials) {
    return WorkspaceAuthenticator.authenticate(configuration().deployment(), credentials);
  }

  /** Refuses when this instance is leaving, and names other instances. */
  void checkServing(Workspace workspace, String route) {
    if (leaving) {
      throw new LeavingException(Step.ADMIT, otherAddresses(workspace.name(), route));
    }
  }

  /** Counts the request against the workspace's limits until the result is run. */
  Runnable enter(Workspace workspace) {
    long serving = controlPlane.membership().members().stream().filter(Member::serving).count();
    return limits.enter(workspace, (int) Math.max(1, serving));
  }

  List<String> otherAddresses(String workspace, String route) {
    return controlPlane
        .locator()
        .locate(workspace, route, settings.dataCentre())
        .addresses()
        .stream()
        .filter(address -> !address.equals(settings.address()))
        .toList();
  }

  static Route route(Deployment deployment, String name, Route.Delivery... allowed) {
    Route route =
        deployment
            .route(name)
            .orElseThrow(() -> refusal(FailureCode.UNKNOWN_ROUTE, "the route is not known"));
    if (!List.of(allowed).contains(route.delivery())) {
      String message = "the route serves " + route.delivery() + " requests only";
      throw refusal(FailureCode.MALFORMED, message);
    }
    return route;
  }

  static void checkGeneration(GenerationRequest request, int maxTokens) {
    checkBody(request.prompt());
    if (request.prompt().isEmpty() || request.maxTokens() < 1) {
      throw refusal(FailureCode.MALFORMED, "a prompt and at least one token are required");
    }
    if (request.maxTokens() > maxTokens) {
      String message = "the service generates at most " + maxTokens + " tokens";
      throw refusal(FailureCode.TOO_LARGE, message);
    }
  }

  static void checkBody(String body) {
    boolean tooLarge =
        body.length() > MAX_BODY_BYTES
            || body.getBytes(StandardCharsets.UTF_8).length > MAX_BODY_BYTES;
    if (tooLarge) {
      String message = "the request is larger than " + MAX_BODY_BYTES + " bytes";
      throw refusal(FailureCode.TOO_LARGE, message);
    }
  }

  private static RejectedException refusal(FailureCode code, String message) {
    return new RejectedException(code, Step.ADMIT, message);
  }
}
