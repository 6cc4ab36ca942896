package org.basilport.cli.demo;

import java.io.PrintWriter;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.basilport.cli.client.CallResponse;
import org.basilport.cli.client.Caller;
import org.basilport.cli.client.CallerClient;
import org.basilport.cli.client.GenerationSummary;
import org.basilport.cli.client.InstanceClient;
import org.basilport.cli.client.OperatorClient;
import org.basilport.config.ConfigurationChange;
import org.basilport.config.Deployment;
import org.basilport.config.Route;
import org.basilport.config.Workspace;
import org.basilport.daemon.http.Json;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.event.Event;
import org.basilport.event.EventType;
import org.basilport.event.HybridLogicalClock;
import org.basilport.router.CallRequest;
import org.basilport.standin.engine.EngineSettings;

/** Runs three instances against stand-ins and checks the guarantees of the system. */
public final class Demo implements AutoCloseable {
  private static final int INSTANCES = 3;
  private static final int SHORT_GENERATION_TOKENS = 40;
  private static final int LONG_GENERATION_TOKENS = 200;
  private static final Set<EventType> DISCOVERY_EVENTS =
      Set.of(EventType.MEMBER_JOINED, EventType.BACKEND_ADDED);
  private static final Duration START_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration CONFIGURATION_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration OUTCOME_TIMEOUT = Duration.ofSeconds(8);
  private static final Duration OUTCOME_POLL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(10);

  private final Deployment deployment;
  private final StandInSite standIns;
  private final DemoInstances instances = new DemoInstances();
  private final InstanceClient client = new InstanceClient();
  private final DemoChecks checks;

  /** Creates a demo for the configuration of a site. */
  public Demo(Deployment deployment, List<String> dataCentres, long seed, PrintWriter out) {
    this.deployment = deployment;
    this.standIns = new StandInSite(deployment, dataCentres, 0, longGenerationSettings(), seed);
    this.checks = new DemoChecks(out);
  }

  /** Runs the demo; returns whether all checks passed. */
  public boolean run() throws Exception {
    standIns.start().get();
    instances.start(INSTANCES, standIns);
    checks.print("demo of " + deployment.site() + ": instances " + instances.addresses());
    applyFirstConfiguration();
    CallerClient caller = caller();
    streamGeneration(caller);
    callTwice(caller);
    changeConfiguration();
    drainDuringStream(caller);
    printTimeline();
    return checks.allPassed();
  }

  @Override
  public void close() {
    instances.stop();
    standIns.stop().join();
  }

  private void applyFirstConfiguration() throws InterruptedException {
    checks.print("apply the site's configuration");
    apply(deployment, 0, 1);
    Duration waited = checks.await(START_TIMEOUT, instances::allServing);
    checks.check(waited.compareTo(START_TIMEOUT) < 0, "all instances serve");
  }

  private void streamGeneration(CallerClient caller) {
    checks.print("stream a generation");
    TokenSequenceCheck tokens = new TokenSequenceCheck(() -> {});
    GenerationSummary summary = caller.generate(request(SHORT_GENERATION_TOKENS), tokens);
    checks.check(
        tokens.isComplete(summary.totalTokens()),
        "G1 each of " + summary.totalTokens() + " tokens arrived once and in order");
  }

  private void callTwice(CallerClient caller) throws InterruptedException {
    checks.print("make a call that may not be repeated, twice with the same key");
    String key = Instant.now().getEpochSecond() + "-" + UUID.randomUUID();
    CallRequest request = new CallRequest(route(Route.Delivery.CALL), "/", key, false, "{}");
    CallResponse first = caller.call(request);
    checks.check(!first.duplicate(), "the first call ran with status " + first.status());
    Duration waited =
        checks.await(OUTCOME_TIMEOUT, OUTCOME_POLL_INTERVAL, () -> isDuplicate(caller, request));
    checks.check(
        waited.compareTo(OUTCOME_TIMEOUT) < 0, "the second call gets the outcome of the first");
    checks.check(standIns.executions().ofKey(key) == 1, "G4 the service ran it once");
  }

  /**
   * Returns whether the call is reported as a duplicate. The outcome is recorded after the first
   * response; until then the second call is rejected.
   */
  private static boolean isDuplicate(CallerClient caller, CallRequest request) {
    try {
      return caller.call(request).duplicate();
    } catch (BasilportException e) {
      if (e.code() == FailureCode.CONFLICT && e.outcome() == Outcome.NOT_RUN) {
        return false;
      }
      throw e;
    }
  }

  private void changeConfiguration() throws InterruptedException {
    checks.print("change the configuration");
    List<Workspace> workspaces = new ArrayList<>(deployment.workspaces());
    Workspace original = workspaces.get(0);
    workspaces.set(
        0,
        new Workspace(
            original.name(),
            original.keySha256(),
            original.weight() + 1,
            original.maxConcurrent(),
            original.requestsPerSecond()));
    Deployment changed =
        new Deployment(
            deployment.site(),
            deployment.modelServices(),
            deployment.applicationServices(),
            workspaces,
            deployment.routes());
    apply(changed, 1, 2);
  }

  private void drainDuringStream(CallerClient caller) throws InterruptedException {
    String address = caller.locate(route(Route.Delivery.STREAMED)).addresses().get(0);
    checks.print("drain " + address + " under a live stream");
    TokenSequenceCheck tokens = new TokenSequenceCheck(() -> drain(address));
    GenerationSummary summary = caller.generate(request(LONG_GENERATION_TOKENS), tokens);
    checks.check(summary.reconnects() > 0, "the stream continued on another instance");
    checks.check(
        tokens.isComplete(summary.totalTokens()),
        "G6 each of " + summary.totalTokens() + " tokens arrived once and in order");
    CompletableFuture<Void> terminated = instances.terminated(address);
    checks.await(DRAIN_TIMEOUT, terminated::isDone);
    checks.check(terminated.isDone(), "the drained instance ended by itself");
  }

  private void printTimeline() {
    List<Event> events =
        instances.events().stream()
            .filter(event -> !DISCOVERY_EVENTS.contains(event.type()))
            .toList();
    checks.print("merged timeline without the discovery of members and backend servers");
    events.forEach(
        event ->
            checks.print(
                String.format(
                    "  %s %s [%d] %s",
                    Instant.ofEpochMilli(HybridLogicalClock.millis(event.hybridTime())),
                    event.instanceId(),
                    event.type().number(),
                    event.text())));
  }

  private void apply(Deployment desired, long expectedNumber, long number)
      throws InterruptedException {
    ConfigurationChange change =
        new ConfigurationChange(UUID.randomUUID().toString(), "demo", expectedNumber, desired);
    operator(instances.addresses()).post("/v1/operator/config", Json.write(change));
    Duration waited =
        checks.await(CONFIGURATION_TIMEOUT, () -> instances.allHaveConfiguration(number));
    checks.check(
        waited.compareTo(CONFIGURATION_TIMEOUT) < 0,
        "G7 configuration " + number + " in force everywhere after " + waited.toMillis() + " ms");
  }

  private void drain(String address) {
    operator(List.of(address)).post("/v1/operator/drain", "{\"reason\":\"demo\"}");
  }

  private OperatorClient operator(List<String> addresses) {
    return new OperatorClient(addresses, DemoInstances.OPERATOR_KEY, client);
  }

  private CallerClient caller() {
    String workspace = deployment.workspaces().get(0).name();
    String key = "example-key-" + workspace;
    return new CallerClient(new Caller(instances.addresses(), workspace, key, ""), client);
  }

  private GenerationRequest request(int maxTokens) {
    String prompt = "Describe the lithology of box 7, 12.0 to 13.5 m: grey siltstone, cracked.";
    return new GenerationRequest(route(Route.Delivery.STREAMED), prompt, maxTokens);
  }

  private String route(Route.Delivery delivery) {
    return deployment.routes().stream()
        .filter(route -> route.delivery() == delivery)
        .map(Route::name)
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("the site has no route " + delivery));
  }

  /**
   * Settings of engines with generations that are long enough to still be streaming during a drain.
   */
  private static EngineSettings longGenerationSettings() {
    int medianLength = 2 * LONG_GENERATION_TOKENS;
    double lengthSigma = 0.1;
    EngineSettings defaults = EngineSettings.defaults();
    return new EngineSettings(
        defaults.capacityTokens(),
        defaults.maxBatch(),
        defaults.baseStep(),
        defaults.stepPerSequence(),
        defaults.stepPerPrefillToken(),
        defaults.prefillTokensPerStep(),
        defaults.prefixCacheTokens(),
        defaults.networkLatency(),
        defaults.reportLag(),
        defaults.retention(),
        defaults.modelLoadTime(),
        defaults.enforcesFencing(),
        defaults.refusesWhenLeaving(),
        medianLength,
        lengthSigma,
        defaults.models());
  }
}
