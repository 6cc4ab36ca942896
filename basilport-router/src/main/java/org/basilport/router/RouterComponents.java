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

/** Creates the components of a router and connects them. */
final class RouterComponents {
  private static final double RETRY_SHARE = 0.1;
  // A few retries are allowed before there is traffic, and a burst of deaths is covered.
  private static final int SAVED_RETRIES = 20;
  private static final Duration SHORTEST_BOUND = Duration.ofMillis(50);
  private static final Duration LONGEST_BOUND = Duration.ofSeconds(2);
  private static final Duration LOAD_REPORT = Duration.ofSeconds(1);

  private final RouterResources resources;
  private final PolicySettingsCache policySettings = new PolicySettingsCache();
  private final RequestGate gate;
  private final IsolationSlots slots;
  private final ResumeTokenCodec tokens;
  private final GenerationService generations;
  private final ServiceCallExecutor calls;
  private final DeferredJobService jobs;
  private final QuarantineStore archive;
  private final ClaimSweeper sweeper;
  private final ObjectStore store;
  private final EngineOrderController orders;
  private Cancellable loadReports = () -> {};

  RouterComponents(RouterResources resources, RequestGate gate, RequestIds ids) {
    this.resources = resources;
    this.gate = gate;
    InstanceSettings settings = resources.settings();
    ControlPlane controlPlane = resources.controlPlane();
    SplittableRandom random = resources.random();
    TrafficMetrics metrics = new TrafficMetrics(resources.metrics());
    this.store = new MeteredObjectStore(resources.store(), metrics);
    RetryBudget budget = new RetryBudget(RETRY_SHARE, SAVED_RETRIES, SAVED_RETRIES);
    FullJitterBackoff delays = new FullJitterBackoff(SHORTEST_BOUND, LONGEST_BOUND, random.split());
    this.slots = new IsolationSlots(resources.control());
    CrashTracker crashes =
        new CrashTracker(
            resources.control(), resources.timeline(), slots, controlPlane::triggerGossip);
    IsolationLeaseManager isolation =
        new IsolationLeaseManager(
            settings.instanceId(),
            controlPlane.membership(),
            controlPlane.peers(),
            slots,
            resources.control());
    this.tokens = new ResumeTokenCodec(settings.clusterKey());
    DeliveryEnvironment delivery =
        new DeliveryEnvironment(
            resources.traffic(),
            resources.timeline(),
            metrics,
            tokens,
            resources.engines(),
            controlPlane.backends(),
            budget,
            delays,
            crashes,
            isolation,
            Duration.ofMillis(settings.resumeWindowMillis()));
    this.generations =
        new GenerationService(
            delivery, controlPlane.membership(), resources.policies(), random.split());
    this.calls = newCalls(metrics, budget, delays, crashes, isolation, random.split());
    this.jobs = newJobs(ids);
    this.archive = new QuarantineStore(store, resources.control(), crashes);
    this.sweeper = new ClaimSweeper(store, resources.control(), controlPlane.membership());
    this.orders = newOrders();
    // Suspicion is recorded before the sessions of a dead backend server look for another one.
    controlPlane.backends().addListener(crashes);
    controlPlane.backends().addListener(generations);
    controlPlane.addParticipant(crashes);
  }

  void start() {
    jobs.start();
    archive.start();
    sweeper.start();
    orders.start();
    loadReports =
        resources
            .control()
            .scheduleRepeating(
                LOAD_REPORT,
                () ->
                    resources
                        .controlPlane()
                        .reportActiveStreams(generations.activeRequestIds().size()));
  }

  /** Starts no more jobs, and gives up the shards whose jobs have ended and the duties. */
  void drainJobs() {
    jobs.drain();
    orders.stop();
  }

  void stop() {
    jobs.stop();
    archive.stop();
    sweeper.stop();
    orders.stop();
    loadReports.cancel();
  }

  IsolationSlots slots() {
    return slots;
  }

  ResumeTokenCodec tokens() {
    return tokens;
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
      GenerationTask work,
      GenerationListener listener,
      Runnable onDone) {
    orders.recordArrival(work.model());
    PolicySettings settings = policySettings.settings(configuration, work.service());
    return generations.generate(work, settings, listener, onDone);
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
          FailureCode.UNKNOWN_ROUTE, Step.ADMIT, "the generation's service is not known");
    }
    return generations.resume(token, settings, generationClass, listener, onDone);
  }

  private ServiceCallExecutor newCalls(
      TrafficMetrics metrics,
      RetryBudget budget,
      FullJitterBackoff delays,
      CrashTracker crashes,
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
            budget,
            delays,
            crashes,
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
        new Starter(),
        settings.instanceId() + "@" + settings.incarnation(),
        settings.clusterKey(),
        ids::next,
        resources.random().split());
  }

  private GenerationHandle startJob(
      String requestId, String workspace, GenerationRequest request, GenerationListener listener) {
    AcceptedConfiguration configuration = gate.configuration();
    Deployment deployment = configuration.deployment();
    Route found = RequestGate.route(deployment, request.route(), Route.Delivery.DEFERRED);
    ModelService service =
        deployment
            .modelService(found.service())
            .orElseThrow(
                () ->
                    new RejectedException(
                        FailureCode.UNKNOWN_ROUTE, Step.ADMIT, "the service is not known"));
    GenerationTask work =
        DefaultRouter.work(requestId, workspace, service, request, GenerationClass.DEFERRED);
    return generate(configuration, work, listener, () -> {});
  }

  private final class Starter implements JobLauncher {
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
      ResumeToken token = tokens.decode(resumeToken, workspace, resources.traffic().now());
      return RouterComponents.this.resume(
          gate.configuration(), token, GenerationClass.DEFERRED, listener, () -> {});
    }
  }
}
