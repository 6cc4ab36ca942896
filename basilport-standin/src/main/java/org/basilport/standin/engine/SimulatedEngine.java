package org.basilport.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.basilport.engine.EngineOrder;
import org.basilport.engine.EngineReport;
import org.basilport.engine.EngineRequest;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.ModelEngine;
import org.basilport.engine.RunningGeneration;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.error.BackendException;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.standin.AvailabilityListener;

/**
 * In-memory model engine with continuous batching. Safe to use from any thread; listeners are
 * called and results complete on the scheduler.
 */
public final class SimulatedEngine implements ModelEngine {
  private static final int MEDIAN_WINDOW_STEPS = 32;

  private final String name;
  private final EngineSettings settings;
  private final Scheduler scheduler;
  private final SplittableRandom random;
  private final EngineFaults faults = new EngineFaults();
  private final EngineHistory history = new EngineHistory();
  private final OutputLengthSampler lengthSampler;
  private final PrefixCache cache;
  private final ContinuousBatch batch;
  private final FrameSender sender;
  private final DelayedReports reports;
  private final Map<String, SimulatedGeneration> generations = new HashMap<>();
  private final Deque<Duration> recentSteps = new ArrayDeque<>();
  private AvailabilityListener availabilityListener = available -> {};
  private List<String> loadedModels;
  private Cancellable step = () -> {};
  private boolean stepPlanned;
  private boolean down;
  private boolean leaving;
  private long leavingSinceNanos;
  private long incarnation = 1;
  private long arrivals;
  private long highestFencingToken;
  private long acceptedOrders;
  private long stalledUntilNanos;

  /** Creates a running engine; its failures report the name as the peer. */
  public SimulatedEngine(
      String name, EngineSettings settings, Scheduler scheduler, SplittableRandom random) {
    this.name = name;
    this.settings = settings;
    this.scheduler = scheduler;
    this.random = random;
    this.lengthSampler =
        new OutputLengthSampler(settings.medianLength(), settings.lengthSigma(), random.split());
    this.cache = new PrefixCache(settings.prefixCacheTokens());
    this.batch = new ContinuousBatch(settings, cache);
    this.sender = new FrameSender(faults, random.split());
    this.reports = new DelayedReports(settings.reportLag(), this::currentReport);
    this.loadedModels = settings.models();
    this.stalledUntilNanos = scheduler.nanoTime();
  }

  /** Name of the engine. */
  public String name() {
    return name;
  }

  /** Persistent fault injection. */
  public EngineFaults faults() {
    return faults;
  }

  /** History over all incarnations. */
  public EngineHistory history() {
    return history;
  }

  /** Sets the listener that is notified of crashes and restarts. */
  public synchronized void onAvailability(AvailabilityListener listener) {
    availabilityListener = listener;
  }

  /** Incarnation number, which increases with each restart. */
  public synchronized long incarnation() {
    return incarnation;
  }

  /** Whether the engine is down after a crash. */
  public synchronized boolean isDown() {
    return down;
  }

  /** Whether the engine refuses connections, because it is down or by fault injection. */
  public synchronized boolean isUnreachable() {
    return down || faults.refusesConnections();
  }

  /** Current load without the report lag, for test checks. */
  public synchronized EngineReport currentReport() {
    long now = scheduler.nanoTime();
    List<RunningGeneration> running = new ArrayList<>();
    batch.all().forEach(generation -> running.add(generation.toRunningGeneration(now)));
    return new EngineReport(
        incarnation,
        leaving,
        settings.capacityTokens(),
        batch.usedTokens(),
        batch.waiting(),
        batch.preemptions(),
        medianStepMillis(),
        loadedModels,
        running,
        cache.sequence());
  }

  /** Marks the engine as leaving; running generations continue. */
  public synchronized void markLeaving() {
    if (!leaving) {
      leaving = true;
      leavingSinceNanos = scheduler.nanoTime();
      reports.record(leavingSinceNanos, true);
    }
  }

  /** Marks the engine as leaving, and shuts it down without restart after the notice period. */
  public synchronized void reclaim(Duration notice) {
    markLeaving();
    long reclaimedIncarnation = incarnation;
    scheduler.schedule(notice, () -> completeReclaim(reclaimedIncarnation));
  }

  private synchronized void completeReclaim(long reclaimedIncarnation) {
    if (incarnation == reclaimedIncarnation) {
      crash(false);
    }
  }

  /** Crashes the engine; all its generations are lost and all its connections fail. */
  public void crash() {
    crash(true);
  }

  private synchronized void crash(boolean mayRestart) {
    if (down) {
      return;
    }
    down = true;
    history.recordCrash();
    step.cancel();
    stepPlanned = false;
    disconnectAllReaders();
    generations.clear();
    batch.clear();
    availabilityListener.availabilityChanged(false);
    if (mayRestart) {
      faults.automaticRestart().ifPresent(delay -> scheduler.schedule(delay, this::restart));
    }
  }

  /**
   * Restarts the engine with a new incarnation and no generations; crashes it first if it is up.
   */
  public synchronized void restart() {
    crash(false);
    down = false;
    leaving = false;
    incarnation++;
    highestFencingToken = 0;
    loadedModels = settings.models();
    cache.clear();
    recentSteps.clear();
    reports.clear();
    availabilityListener.availabilityChanged(true);
  }

  /** Sends nothing to readers for a duration; generations continue. */
  public synchronized void stallStreams(Duration duration) {
    stalledUntilNanos = scheduler.nanoTime() + duration.toNanos();
    scheduler.schedule(duration, this::sendToAllReaders);
  }

  /** Closes the connection of the reader of a generation; the generation continues. */
  public synchronized void disconnectReader(String generationId) {
    SimulatedGeneration generation = generations.get(generationId);
    if (generation != null && generation.reader != null) {
      generation.reader.sendFailure(
          connectionLost(Step.STREAM, "the engine closed the connection"));
      detachReader(generation);
    }
  }

  /** Closes the connections of all readers; generations continue. */
  public synchronized void disconnectAllReaders() {
    new ArrayList<>(generations.keySet()).stream().sorted().forEach(this::disconnectReader);
  }

  @Override
  public TokenStream generate(EngineRequest request, TokenListener listener) {
    SimulatedReader reader = newReader(listener);
    scheduler.schedule(settings.networkLatency(), () -> acceptGeneration(request, reader));
    return reader;
  }

  @Override
  public TokenStream resume(String generationId, long offset, TokenListener listener) {
    SimulatedReader reader = newReader(listener);
    scheduler.schedule(settings.networkLatency(), () -> acceptResume(generationId, offset, reader));
    return reader;
  }

  @Override
  public CompletableFuture<Boolean> cancel(String generationId, boolean onlyIfUnattached) {
    return call(() -> applyCancel(generationId, onlyIfUnattached));
  }

  @Override
  public CompletableFuture<EngineReport> report() {
    return call(() -> reports.report(scheduler.nanoTime()));
  }

  @Override
  public CompletableFuture<Void> order(EngineOrder order) {
    return call(() -> applyOrder(order));
  }

  private SimulatedReader newReader(TokenListener listener) {
    return new SimulatedReader(this, scheduler, settings.networkLatency(), listener);
  }

  private synchronized void acceptGeneration(EngineRequest request, SimulatedReader reader) {
    if (isUnreachable()) {
      reader.sendFailure(connectionRefused());
    } else if (random.nextDouble() < faults.lostRequestProbability()) {
      reader.sendFailure(connectionLost(Step.SEND, "the connection was closed before a response"));
    } else if (leaving && settings.refusesWhenLeaving()) {
      reader.sendFailure(rejected(FailureCode.LEAVING, "the engine is leaving"));
    } else if (PrefixCache.tokenCount(request.prompt()) >= settings.capacityTokens()) {
      reader.sendFailure(
          rejected(FailureCode.TOO_LARGE, "the prompt exceeds the key-value memory"));
    } else {
      start(request, reader);
    }
  }

  private void start(EngineRequest request, SimulatedReader reader) {
    long now = scheduler.nanoTime();
    Duration afterLeaving = Duration.ofNanos(leaving ? now - leavingSinceNanos : 0);
    history.recordStart(request.generationId(), afterLeaving);
    if (generations.containsKey(request.generationId())) {
      reader.sendFailure(rejected(FailureCode.DUPLICATE, "the generation id is already in use"));
      return;
    }
    SimulatedGeneration generation =
        new SimulatedGeneration(request, arrivals++, lengthSampler.sample(request.prompt()));
    generation.unattachedSinceNanos = now;
    generations.put(generation.id(), generation);
    batch.add(generation);
    attach(generation, reader);
    planStep();
  }

  private synchronized void acceptResume(String id, long offset, SimulatedReader reader) {
    if (isUnreachable()) {
      reader.sendFailure(connectionRefused());
      return;
    }
    SimulatedGeneration generation = generations.get(id);
    if (generation == null || offset < 0 || offset > generation.generatedTokens) {
      reader.sendFailure(
          rejected(FailureCode.NOT_FOUND, "no generation " + id + " at offset " + offset));
      return;
    }
    if (generation.reader != null) {
      generation.reader.sendFailure(
          connectionLost(Step.STREAM, "another reader replaced this one"));
    }
    reader.nextOffset = offset;
    attach(generation, reader);
  }

  private void attach(SimulatedGeneration generation, SimulatedReader reader) {
    reader.sendAccepted();
    if (!reader.closed()) {
      reader.generation = generation;
      generation.reader = reader;
      send(generation);
    }
  }

  synchronized void requestFrames(SimulatedReader reader, int frames) {
    reader.credits += frames;
    if (reader.generation != null && reader.generation.reader == reader) {
      send(reader.generation);
    }
  }

  synchronized void detach(SimulatedReader reader) {
    if (reader.generation != null && reader.generation.reader == reader) {
      detachReader(reader.generation);
    }
  }

  private void detachReader(SimulatedGeneration generation) {
    generation.reader = null;
    generation.unattachedSinceNanos = scheduler.nanoTime();
  }

  private synchronized void sendToAllReaders() {
    generationsByArrival().forEach(this::send);
  }

  private List<SimulatedGeneration> generationsByArrival() {
    List<SimulatedGeneration> all = new ArrayList<>(generations.values());
    all.sort((left, right) -> Long.compare(left.arrivalNumber, right.arrivalNumber));
    return all;
  }

  private void send(SimulatedGeneration generation) {
    boolean stalled = scheduler.nanoTime() - stalledUntilNanos < 0;
    if (generation.reader != null && !stalled && sender.send(generation, generation.reader)) {
      detachReader(generation);
    }
  }

  private void planStep() {
    if (!stepPlanned && !down && !batch.isEmpty()) {
      stepPlanned = true;
      Duration duration = batch.planStep();
      step = scheduler.schedule(duration, () -> finishStep(duration));
    }
  }

  private synchronized void finishStep(Duration duration) {
    if (!stepPlanned) {
      return;
    }
    stepPlanned = false;
    boolean crashes =
        batch.running().stream()
            .anyMatch(generation -> faults.crashesOn(generation.request.prompt()));
    if (crashes) {
      crash(true);
      return;
    }
    recentSteps.addLast(duration);
    if (recentSteps.size() > MEDIAN_WINDOW_STEPS) {
      recentSteps.removeFirst();
    }
    for (SimulatedGeneration generation : batch.finishStep()) {
      send(generation);
      if (generation.ended()) {
        scheduleRemoval(generation);
      }
    }
    reports.record(scheduler.nanoTime(), batch.isEmpty());
    planStep();
  }

  private void scheduleRemoval(SimulatedGeneration generation) {
    scheduler.schedule(settings.retention(), () -> remove(generation));
  }

  private synchronized void remove(SimulatedGeneration generation) {
    if (generation.reader != null) {
      generation.reader.sendFailure(
          connectionLost(Step.STREAM, "the retention period of the generation has expired"));
    }
    generations.remove(generation.id(), generation);
  }

  private double medianStepMillis() {
    List<Duration> sorted = new ArrayList<>(recentSteps);
    sorted.sort(null);
    return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2).toNanos() / 1e6;
  }

  private boolean applyCancel(String id, boolean onlyIfUnattached) {
    SimulatedGeneration generation = generations.get(id);
    boolean attached = generation != null && generation.reader != null;
    if (generation == null || generation.ended() || (onlyIfUnattached && attached)) {
      return false;
    }
    batch.remove(generation);
    generation.endReason = GenerationEnd.Reason.CANCELLED;
    send(generation);
    scheduleRemoval(generation);
    reports.record(scheduler.nanoTime(), true);
    return true;
  }

  private Void applyOrder(EngineOrder order) {
    if (settings.enforcesFencing() && order.fencingToken() < highestFencingToken) {
      String message = "fencing token " + order.fencingToken() + " is below " + highestFencingToken;
      throw new ConflictException(Step.SEND, name, message);
    }
    highestFencingToken = Math.max(highestFencingToken, order.fencingToken());
    boolean loadsModels = !loadedModels.containsAll(order.models());
    long orderNumber = ++acceptedOrders;
    history.recordOrder(order, loadsModels);
    Duration delay = loadsModels ? settings.modelLoadTime() : Duration.ZERO;
    scheduler.schedule(delay, () -> completeOrder(order, orderNumber, incarnation));
    return null;
  }

  private synchronized void completeOrder(
      EngineOrder order, long orderNumber, long orderIncarnation) {
    if (orderNumber == acceptedOrders && orderIncarnation == incarnation && !down) {
      loadedModels = List.copyOf(order.models());
      reports.record(scheduler.nanoTime(), true);
    }
  }

  private <T> CompletableFuture<T> call(Supplier<T> operation) {
    CompletableFuture<T> result = new CompletableFuture<>();
    scheduler.schedule(settings.networkLatency(), () -> respond(operation, result));
    return result;
  }

  private synchronized <T> void respond(Supplier<T> operation, CompletableFuture<T> result) {
    if (isUnreachable()) {
      scheduler.execute(() -> result.completeExceptionally(connectionRefused()));
      return;
    }
    long respondingIncarnation = incarnation;
    Runnable completion;
    try {
      T value = operation.get();
      completion = () -> result.complete(value);
    } catch (BasilportException e) {
      completion = () -> result.completeExceptionally(e);
    }
    Runnable response = completion;
    scheduler.schedule(
        settings.networkLatency(),
        () -> {
          if (isDown() || incarnation() != respondingIncarnation) {
            result.completeExceptionally(
                connectionLost(Step.SEND, "the engine crashed before its response"));
          } else {
            response.run();
          }
        });
  }

  private BackendException connectionRefused() {
    return new BackendException(
        FailureCode.BACKEND_LOST, Outcome.NOT_RUN, Step.CONNECT, name, "connection refused", null);
  }

  private BackendException rejected(FailureCode code, String message) {
    return new BackendException(code, Outcome.NOT_RUN, Step.SEND, name, message, null);
  }

  private BackendException connectionLost(Step failedStep, String message) {
    return new BackendException(
        FailureCode.BACKEND_LOST, Outcome.MAY_HAVE_RUN, failedStep, name, message, null);
  }
}
