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

/** Authenticates, validates and admits requests; safe to use from any thread. */
final class AdmissionController {
  /** Maximum size of a prompt or body, in bytes of UTF-8. */
  static final int MAX_BODY_BYTES = 512 * 1_024;

  private static final Duration NOT_READY_RETRY_AFTER = Duration.ofSeconds(1);

  private final InstanceSettings settings;
  private final ControlPlane controlPlane;
  private final WorkspaceLimits limits;
  private volatile boolean draining;

  AdmissionController(InstanceSettings settings, ControlPlane controlPlane, Scheduler clock) {
    this.settings = settings;
    this.controlPlane = controlPlane;
    this.limits = new WorkspaceLimits(clock);
  }

  /** Rejects new requests from now on. */
  void startDraining() {
    draining = true;
  }

  boolean draining() {
    return draining;
  }

  /**
   * Returns the current configuration; fails with NOT_READY if it is missing or being rechecked.
   */
  AcceptedConfiguration configuration() {
    Optional<AcceptedConfiguration> current = controlPlane.configuration().current();
    if (current.isEmpty() || !controlPlane.acceptsRequests()) {
      throw new RejectedException(
          FailureCode.NOT_READY,
          Step.ADMIT,
          NOT_READY_RETRY_AFTER,
          "the configuration of this instance is not known yet or is being rechecked");
    }
    return current.get();
  }

  /** Returns the workspace of a caller, also during a drain. */
  Workspace authenticate(Credentials credentials) {
    return WorkspaceAuthenticator.authenticate(configuration().deployment(), credentials);
  }

  /** Fails with {@code LeavingException}, which names other instances, during a drain. */
  void checkNotDraining(Workspace workspace, String route) {
    if (draining) {
      throw new LeavingException(Step.ADMIT, alternativeAddresses(workspace.name(), route));
    }
  }

  /** Counts the request against the limits of its workspace until the returned action runs. */
  Runnable admit(Workspace workspace) {
    long serving = controlPlane.membership().members().stream().filter(Member::serving).count();
    return limits.acquire(workspace, (int) Math.max(1, serving));
  }

  List<String> alternativeAddresses(String workspace, String route) {
    return controlPlane
        .locator()
        .locate(workspace, route, settings.dataCentre())
        .addresses()
        .stream()
        .filter(address -> !address.equals(settings.address()))
        .toList();
  }

  static Route requireRoute(Deployment deployment, String name, Route.Delivery... allowed) {
    Route route =
        deployment
            .route(name)
            .orElseThrow(() -> rejection(FailureCode.UNKNOWN_ROUTE, "the route is not configured"));
    if (!List.of(allowed).contains(route.delivery())) {
      String message = "the route serves " + route.delivery() + " requests only";
      throw rejection(FailureCode.MALFORMED, message);
    }
    return route;
  }

  static void checkGeneration(GenerationRequest request, int maxTokens) {
    checkBody(request.prompt());
    if (request.prompt().isEmpty() || request.maxTokens() < 1) {
      throw rejection(FailureCode.MALFORMED, "a prompt and at least one token are required");
    }
    if (request.maxTokens() > maxTokens) {
      String message = "the service generates at most " + maxTokens + " tokens";
      throw rejection(FailureCode.TOO_LARGE, message);
    }
  }

  static void checkBody(String body) {
    boolean tooLarge =
        body.length() > MAX_BODY_BYTES
            || body.getBytes(StandardCharsets.UTF_8).length > MAX_BODY_BYTES;
    if (tooLarge) {
      String message = "the request is larger than " + MAX_BODY_BYTES + " bytes";
      throw rejection(FailureCode.TOO_LARGE, message);
    }
  }

  private static RejectedException rejection(FailureCode code, String message) {
    return new RejectedException(code, Step.ADMIT, message);
  }
}
