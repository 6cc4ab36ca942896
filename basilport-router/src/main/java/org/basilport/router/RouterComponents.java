package org.basilport.router;

import java.time.Duration;
import java.util.SplittableRandom;
import org.basilport.claim.ClaimRegistry;
import org.basilport.claim.ClaimSweeper;
import org.basilport.claim.ServiceCallEnvironment;
import org.basilport.claim.ServiceCallExecutor;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.Deployment;
import org.basilport.config.ModelService;
import org.basilport.config.Route;
import org.basilport.deferred.DeferredJobService;
import org.basilport.deferred.JobLauncher;
import org.basilport.delivery.DeliveryEnvironment;
import org.basilport.delivery.GenerationHandle;
import org.basilport.delivery.GenerationListener;
import org.basilport.delivery.GenerationRequest;
import org.basilport.delivery.GenerationService;
import org.basilport.delivery.GenerationTask;
import org.basilport.delivery.ResumeToken;
import org.basilport.delivery.ResumeTokenCodec;
import org.basilport.delivery.TrafficMetrics;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.misc.Cancellable;
import org.basilport.order.EngineOrderController;
import org.basilport.order.OrderEnvironment;
import org.basilport.platform.ObjectStore;
import org.basilport.policy.GenerationClass;
import org.basilport.policy.PolicySettings;
import org.basilport.policy.limit.FullJitterBackoff;
import org.basilport.policy.limit.RetryBudget;
import org.basilport.quarantine.CrashTracker;
import org.basilport.quarantine.IsolationLeaseManager;
import org.basilport.quarantine.IsolationSlots;
import org.basilport.quarantine.QuarantineStore;

/** Creates and connects the components of a router. */
final class RouterComponents {
  private static final double RETRY_RATIO = 0.1;
  // Allows retries before any traffic has been seen, and covers a burst of backend crashes.
  private static final int RETRY_RESERVE = 20;
  private static final Duration MIN_BACKOFF_BOUND = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF_BOUND = Duration.ofSeconds(2);
  private static final Duration LOAD_REPORT_INTERVAL = Duration.ofSeconds(1);

  private final RouterResources resources;
  private final PolicySettingsCache policySettings = new PolicySettingsCache();
  private final AdmissionController admission;
  private final IsolationSlots isolationSlots;
  private final ResumeTokenCodec resumeTokens;
  private final GenerationService generations;
  private final ServiceCallExecutor calls;
  private final DeferredJobService jobs;
  private final QuarantineStore quarantineStore;
  private final ClaimSweeper claimSweeper;
  private final ObjectStore store;
  private final EngineOrderController orders;
  private Cancellable loadReportTimer = () -> {};

  RouterComponents(RouterResources resources, AdmissionController admission, RequestIds ids) {
    this.resources = resources;
    this.admission = admission;
    InstanceSettings settings = resources.settings();
    ControlPlane controlPlane = resources.controlPlane();
    SplittableRandom random = resources.random();
    TrafficMetrics metrics = new TrafficMetrics(resources.metrics());
    this.store = new MeteredObjectStore(resources.store(), metrics);
    RetryBudget retryBudget = new RetryBudget(RETRY_RATIO, RETRY_RESERVE, RETRY_RESERVE);
    FullJitterBackoff backoff =
        new FullJitterBackoff(MIN_BACKOFF_BOUND, MAX_BACKOFF_BOUND, random.split());
    this.isolationSlots = new IsolationSlots(resources.control());
    CrashTracker crashTracker =
        new CrashTracker(
            resources.control(), resources.timeline(), isolationSlots, controlPlane::triggerGossip);
    IsolationLeaseManager isolation =
        new IsolationLeaseManager(
            settings.instanceId(),
            controlPlane.membership(),
            controlPlane.peers(),
            isolationSlots,
            resources.control());
    this.resumeTokens = new ResumeTokenCodec(settings.clusterKey());
    DeliveryEnvironment delivery =
        new DeliveryEnvironment(
            resources.traffic(),
            resources.timeline(),
            metrics,
            resumeTokens,
            resources.engines(),
            controlPlane.backends(),
            retryBudget,
            backoff,
            crashTracker,
            isolation,
            Duration.ofMillis(settings.resumeWindowMillis()));
    this.generations =
        new GenerationService(
            delivery, controlPlane.membership(), resources.policies(), random.split());
    this.calls = newCalls(metrics, retryBudget, backoff, crashTracker, isolation, random.split());
    this.jobs = newJobs(ids);
    this.quarantineStore = new QuarantineStore(store, resources.control(), crashTracker);
    this.claimSweeper = new ClaimSweeper(store, resources.control(), controlPlane.membership());
    this.orders = newOrders();
    // Listener order matters: the crash is recorded before the sessions of the crashed backend
    // server select another one.
    controlPlane.backends().addListener(crashTracker);
    controlPlane.backends().addListener(generations);
    controlPlane.addParticipant(crashTracker);
  }

  void start() {
    jobs.start();
    quarantineStore.start();
    claimSweeper.start();
    orders.start();
    loadReportTimer =
        resources
            .control()
            .scheduleRepeating(
                LOAD_REPORT_INTERVAL,
                () ->
                    resources
                        .controlPlane()
                        .reportActiveStreams(generations.activeRequestIds().size()));
  }

  /**
   * Starts no further jobs and releases the leader leases and the shards whose jobs have finished.
   */
  void drainJobs() {
    jobs.drain();
    orders.stop();
  }

  void stop() {
    jobs.stop();
    quarantineStore.stop();
    claimSweeper.stop();
    orders.stop();
    loadReportTimer.cancel();
  }

  IsolationSlots isolationSlots() {
    return isolationSlots;
  }

  ResumeTokenCodec resumeTokens() {
    return resumeTokens;
  }

  GenerationService generations() {
    return generations;
  }

  ServiceCallExecutor calls() {
    return calls;
  }

  DeferredJobService jobs() {
    return jobs;
  }

  EngineOrderController orders() {
    return orders;
  }

  GenerationHandle generate(
      AcceptedConfiguration configuration,
      GenerationTask task,
      GenerationListener listener,
      Runnable onDone) {
    orders.recordArrival(task.model());
    PolicySettings settings = policySettings.settings(configuration, task.service());
    return generations.generate(task, settings, listener, onDone);
  }

  GenerationHandle resume(
      AcceptedConfiguration configuration,
      ResumeToken token,
      GenerationClass generationClass,
      GenerationListener listener,
      Runnable onDone) {
    PolicySettings settings = policySettings.settings(configuration, token.service());
    if (settings == null) {
      onDone.run();
      throw new RejectedException(
          FailureCode.UNKNOWN_ROUTE, Step.ADMIT, "the service of the generation is not configured");
    }
    return generations.resume(token, settings, generationClass, listener, onDone);
  }

  private ServiceCallExecutor newCalls(
      TrafficMetrics metrics,
      RetryBudget retryBudget,
      FullJitterBackoff backoff,
      CrashTracker crashTracker,
      IsolationLeaseManager isolation,
      SplittableRandom random) {
    ClaimRegistry claims =
        new ClaimRegistry(store, resources.control(), resources.timeline(), random);
    return new ServiceCallExecutor(
        new ServiceCallEnvironment(
            resources.traffic(),
            resources.timeline(),
            metrics,
            resources.services(),
            resources.controlPlane().backends(),
            claims,
            retryBudget,
            backoff,
            crashTracker,
            isolation));
  }

  private EngineOrderController newOrders() {
    ControlPlane controlPlane = resources.controlPlane();
    OrderEnvironment environment =
        new OrderEnvironment(
            store,
            resources.weights(),
            resources.engines(),
            controlPlane.membership(),
            controlPlane.backends(),
            controlPlane.configuration(),
            resources.control(),
            resources.timeline());
    return new EngineOrderController(environment, resources.random().split());
  }

  private DeferredJobService newJobs(RequestIds ids) {
    InstanceSettings settings = resources.settings();
    return new DeferredJobService(
        store,
        resources.control(),
        resources.timeline(),
        resources.controlPlane().membership(),
        new DeferredJobLauncher(),
        settings.instanceId() + "@" + settings.incarnation(),
        settings.clusterKey(),
        ids::next,
        resources.random().split());
  }

  private GenerationHandle startJob(
      String requestId, String workspace, GenerationRequest request, GenerationListener listener) {
    AcceptedConfiguration configuration = admission.configuration();
    Deployment deployment = configuration.deployment();
    Route route =
        AdmissionController.requireRoute(deployment, request.route(), Route.Delivery.DEFERRED);
    ModelService service =
        deployment
            .modelService(route.service())
            .orElseThrow(
                () ->
                    new RejectedException(
                        FailureCode.UNKNOWN_ROUTE,
                        Step.ADMIT,
                        "the service of the route is not configured"));
    GenerationTask task =
        DefaultRouter.generationTask(
            requestId, workspace, service, request, GenerationClass.DEFERRED);
    return generate(configuration, task, listener, () -> {});
  }

  private final class DeferredJobLauncher implements JobLauncher {
    @Override
    public GenerationHandle start(
        String requestId,
        String workspace,
        GenerationRequest request,
        GenerationListener listener) {
      return startJob(requestId, workspace, request, listener);
    }

    @Override
    public GenerationHandle resume(
        String workspace, String resumeToken, GenerationListener listener) {
      ResumeToken token = resumeTokens.decode(resumeToken, workspace, resources.traffic().now());
      return RouterComponents.this.resume(
          admission.configuration(), token, GenerationClass.DEFERRED, listener, () -> {});
    }
  }
}
