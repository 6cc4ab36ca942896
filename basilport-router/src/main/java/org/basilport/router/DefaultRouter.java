package org.basilport.router;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.backend.BackendView;
import org.basilport.claim.RequestKey;
import org.basilport.claim.ServiceCallTask;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ApplicationService;
import org.basilport.config.ConfigurationChange;
import org.basilport.config.ConfigurationStore;
import org.basilport.config.ConfigurationView;
import org.basilport.config.Deployment;
import org.basilport.config.ModelService;
import org.basilport.config.Route;
import org.basilport.config.Workspace;
import org.basilport.deferred.DeferredJob;
import org.basilport.delivery.GenerationHandle;
import org.basilport.delivery.GenerationListener;
import org.basilport.delivery.GenerationRequest;
import org.basilport.delivery.GenerationTask;
import org.basilport.delivery.ResumeToken;
import org.basilport.engine.ModelEngineConnector;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.LeavingException;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.event.Timeline;
import org.basilport.membership.Location;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Scheduler;
import org.basilport.order.OrderStatus;
import org.basilport.peer.PeerClient;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.WeightStore;
import org.basilport.policy.GenerationClass;
import org.basilport.policy.GenerationPolicyFactory;
import org.basilport.quarantine.RequestFingerprint;
import org.basilport.service.ServiceReplicaConnector;

/** Router of one instance; safe to use from any thread. */
public final class DefaultRouter implements Router {
  private static final Duration MAX_CONFIRMATION_AGE = Duration.ofSeconds(30);

  private final InstanceSettings settings;
  private final ControlPlane controlPlane;
  private final Scheduler traffic;
  private final Timeline timeline;
  private final AdmissionController admission;
  private final RequestIds requestIds;
  private final RouterComponents components;
  private final PeerClient endpoint;
  private final DrainCoordinator drainCoordinator;
  private volatile boolean stopped;

  /** Creates a router without a weight store; it orders no engine to load models. */
  public DefaultRouter(
      InstanceSettings settings,
      ControlPlane controlPlane,
      ObjectStore store,
      ModelEngineConnector engines,
      ServiceReplicaConnector services,
      GenerationPolicyFactory policies,
      Scheduler control,
      Scheduler traffic,
      Timeline timeline,
      SplittableRandom random,
      MetricRegistry metrics) {
    this(
        settings,
        controlPlane,
        store,
        (model, version) -> CompletableFuture.failedFuture(noWeightStore()),
        engines,
        services,
        policies,
        control,
        traffic,
        timeline,
        random,
        metrics);
  }

  /**
   * Creates a router that has not started.
   *
   * @param weights limits the model loads that engines are ordered to perform
   * @param control runs all control-plane tasks
   * @param traffic runs all request callbacks
   */
  public DefaultRouter(
      InstanceSettings settings,
      ControlPlane controlPlane,
      ObjectStore store,
      WeightStore weights,
      ModelEngineConnector engines,
      ServiceReplicaConnector services,
      GenerationPolicyFactory policies,
      Scheduler control,
      Scheduler traffic,
      Timeline timeline,
      SplittableRandom random,
      MetricRegistry metrics) {
    this.settings = settings;
    this.controlPlane = controlPlane;
    this.traffic = traffic;
    this.timeline = timeline;
    this.admission = new AdmissionController(settings, controlPlane, control);
    this.requestIds = new RequestIds(settings);
    RouterResources resources =
        new RouterResources(
            settings,
            controlPlane,
            store,
            weights,
            engines,
            services,
            policies,
            control,
            traffic,
            timeline,
            random,
            metrics);
    this.components = new RouterComponents(resources, admission, requestIds);
    this.drainCoordinator = new DrainCoordinator(resources, admission, components);
    this.endpoint = controlPlane.peerEndpoint(components.isolationSlots(), this::drain);
  }

  @Override
  public CompletableFuture<Void> start() {
    return controlPlane.start().thenRun(components::start);
  }

  @Override
  public CompletableFuture<Void> stop() {
    stopped = true;
    components.stop();
    return controlPlane.stop();
  }

  @Override
  public Location locate(Credentials credentials, String route, String dataCentre) {
    Workspace workspace = admission.authenticate(credentials);
    AdmissionController.requireRoute(deployment(), route, Route.Delivery.values());
    return controlPlane.locator().locate(workspace.name(), route, dataCentre);
  }

  @Override
  public GenerationHandle generate(
      Credentials credentials, GenerationRequest request, GenerationListener listener) {
    try {
      Workspace workspace = admission.authenticate(credentials);
      admission.checkNotDraining(workspace, request.route());
      AcceptedConfiguration configuration = admission.configuration();
      ModelService service = modelService(configuration, request, Route.Delivery.STREAMED);
      AdmissionController.checkGeneration(request, service.maxTokens());
      Runnable release = admission.admit(workspace);
      return components.generate(
          configuration,
          generationTask(
              requestIds.next(), workspace.name(), service, request, GenerationClass.STREAMED),
          listener,
          release);
    } catch (BasilportException e) {
      return reject(e, listener);
    }
  }

  @Override
  public GenerationHandle resume(
      Credentials credentials, String resumeToken, GenerationListener listener) {
    try {
      Workspace workspace = admission.authenticate(credentials);
      ResumeToken token =
          components.resumeTokens().decode(resumeToken, workspace.name(), traffic.now());
      admission.checkNotDraining(workspace, "");
      return components.resume(
          admission.configuration(),
          token,
          GenerationClass.STREAMED,
          listener,
          admission.admit(workspace));
    } catch (BasilportException e) {
      return reject(e, listener);
    }
  }

  @Override
  public CompletableFuture<Boolean> cancel(Credentials credentials, String resumeToken) {
    try {
      Workspace workspace = admission.authenticate(credentials);
      ResumeToken token =
          components.resumeTokens().decode(resumeToken, workspace.name(), traffic.now());
      return components.generations().cancel(token);
    } catch (BasilportException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  @Override
  public CompletableFuture<CallResult> call(Credentials credentials, CallRequest request) {
    try {
      Workspace workspace = admission.authenticate(credentials);
      admission.checkNotDraining(workspace, request.route());
      AdmissionController.checkBody(request.body());
      ApplicationService service = applicationService(request);
      if (!request.repeatable()) {
        // Rejects an invalid key before the request is admitted; the call parses the key again.
        RequestKey.parse(workspace.name(), request.requestKey(), traffic.now());
      }
      Runnable release = admission.admit(workspace);
      return components
          .calls()
          .call(callTask(workspace, service, request))
          .thenApply(
              response ->
                  new CallResult(
                      response.attemptId(),
                      response.status(),
                      response.body(),
                      response.duplicate()))
          .whenComplete((result, failure) -> release.run());
    } catch (BasilportException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  @Override
  public CompletableFuture<String> submitDeferred(
      Credentials credentials, GenerationRequest request) {
    try {
      Workspace workspace = admission.authenticate(credentials);
      admission.checkNotDraining(workspace, request.route());
      ModelService service =
          modelService(admission.configuration(), request, Route.Delivery.DEFERRED);
      AdmissionController.checkGeneration(request, service.maxTokens());
      Runnable release = admission.admit(workspace);
      return components
          .jobs()
          .submit(workspace.name(), request.route(), request.prompt(), request.maxTokens())
          .whenComplete((id, failure) -> release.run());
    } catch (BasilportException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  @Override
  public CompletableFuture<DeferredJob> collectDeferred(Credentials credentials, String jobId) {
    try {
      Workspace workspace = admission.authenticate(credentials);
      return components.jobs().collect(workspace.name(), jobId);
    } catch (BasilportException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  @Override
  public CompletableFuture<AcceptedConfiguration> applyConfiguration(ConfigurationChange change) {
    return controlPlane.apply(change);
  }

  @Override
  public ConfigurationStore configurations() {
    return controlPlane.configurations();
  }

  @Override
  public ConfigurationView configuration() {
    return controlPlane.configuration();
  }

  @Override
  public MembershipView membership() {
    return controlPlane.membership();
  }

  @Override
  public BackendView backends() {
    return controlPlane.backends();
  }

  @Override
  public PeerClient peerEndpoint() {
    return endpoint;
  }

  @Override
  public Timeline timeline() {
    return timeline;
  }

  @Override
  public Readiness readiness() {
    if (stopped) {
      return Readiness.STOPPED;
    }
    if (admission.draining()) {
      return Readiness.DRAINING;
    }
    if (controlPlane.configuration().current().isEmpty() || !controlPlane.acceptsRequests()) {
      return Readiness.STARTING;
    }
    return controlPlane.configurationConfirmed(MAX_CONFIRMATION_AGE)
        ? Readiness.SERVING
        : Readiness.STALE_CONFIGURATION;
  }

  @Override
  public List<String> activeRequests() {
    List<String> active = new ArrayList<>(components.generations().activeRequestIds());
    active.addAll(components.calls().activeRequestIds());
    return active;
  }

  @Override
  public List<OrderStatus> orders() {
    return components.orders().status();
  }

  @Override
  public CompletableFuture<Void> drain(String reason) {
    return drainCoordinator.drain(reason);
  }

  private Deployment deployment() {
    return admission.configuration().deployment();
  }

  private static ModelService modelService(
      AcceptedConfiguration configuration, GenerationRequest request, Route.Delivery delivery) {
    Deployment deployment = configuration.deployment();
    Route route = AdmissionController.requireRoute(deployment, request.route(), delivery);
    return deployment
        .modelService(route.service())
        .orElseThrow(() -> unknownService(route.service()));
  }

  private ApplicationService applicationService(CallRequest request) {
    Route route =
        AdmissionController.requireRoute(deployment(), request.route(), Route.Delivery.CALL);
    return deployment()
        .applicationService(route.service())
        .orElseThrow(() -> unknownService(route.service()));
  }

  private static RejectedException noWeightStore() {
    return new RejectedException(
        FailureCode.PLATFORM_UNAVAILABLE,
        Step.STORE,
        "no weight store is configured; models cannot be loaded");
  }

  private static RejectedException unknownService(String name) {
    return new RejectedException(
        FailureCode.UNKNOWN_ROUTE,
        Step.ADMIT,
        "the service " + name + " of the route is not configured");
  }

  static GenerationTask generationTask(
      String requestId,
      String workspace,
      ModelService service,
      GenerationRequest request,
      GenerationClass generationClass) {
    return new GenerationTask(
        requestId,
        workspace,
        service.name(),
        service.model(),
        request,
        generationClass,
        RequestFingerprint.of(workspace, request.route(), request.prompt()));
  }

  private ServiceCallTask callTask(
      Workspace workspace, ApplicationService service, CallRequest request) {
    String content = request.path() + "\n" + request.body();
    return new ServiceCallTask(
        requestIds.next(),
        workspace.name(),
        service.name(),
        Duration.ofMillis(service.timeoutMillis()),
        request.path(),
        request.requestKey(),
        request.repeatable(),
        request.body(),
        RequestFingerprint.of(workspace.name(), request.route(), content));
  }

  private GenerationHandle reject(BasilportException failure, GenerationListener listener) {
    traffic.execute(
        () -> {
          if (failure instanceof LeavingException) {
            timeline.record(
                EventType.GENERATION_REFUSED,
                EventSubject.NONE,
                settings.instanceId(),
                failure.getMessage());
          }
          listener.onFailure(failure);
        });
    return RejectedGenerationHandle.INSTANCE;
  }
}
