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
 * A model engine in memory with continuous batching. Its methods may be called from any thread;
 * listeners and results are called on the scheduler.
 */
public final class SimulatedEngine implements ModelEngine {
  private static final int STEPS_IN_MEDIAN = 32;

  private final String name;
  private final EngineSettings settings;
  private final Scheduler scheduler;
  private final SplittableRandom random;
  private final EngineFaults faults = new EngineFaults();
  private final EngineHistory history = new EngineHistory();
  private final OutputLengths lengths;
  private final PrefixCache cache;
  private final ContinuousBatch batch;
  private final FrameSender sender;
  private final LaggingReports reports;
  private final Map<String, SimulatedGeneration> generations = new HashMap<>();
  private final Deque<Duration> recentSteps = new ArrayDeque<>();
  private AvailabilityListener availability = up -> {};
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

  /** Creates a running engine; the name is the peer in its failures. */
  public SimulatedEngine(
      String name, EngineSettings settings, Scheduler scheduler, SplittableRandom random) {
    this.name = name;
    this.settings = settings;
    this.scheduler = scheduler;
    this.random = random;
    this.lengths =
        new OutputLengths(settings.medianLength(), settings.lengthSigma(), random.split());
    this.cache = new PrefixCache(settings.prefixCacheTokens());
    this.batch = new ContinuousBatch(settings, cache);
    this.sender = new FrameSender(faults, random.split());
    this.reports = new LaggingReports(settings.reportLag(), this::currentReport);
    this.loadedModels = settings.models();
    this.stalledUntilNanos = scheduler.nanoTime();
  }

  /** Name of the engine. */
  public String name() {
    return name;
  }

  /** Switches for lasting faults. */
  public EngineFaults faults() {
    return faults;
  }

  /** What the engine did so far. */
  public EngineHistory history() {
    return history;
  }

  /** Sets the listener that is told of crashes and restarts. */
  public synchronized void onAvailability(AvailabilityListener listener) {
    availability = listener;
  }

  /** Number that grows with each restart. */
  public synchronized long incarnation() {
    return incarnation;
  }

  /** Whether the engine is down after a crash. */
  public synchronized boolean isDown() {
    return down;
  }

  /** Whether the engine refuses connections now. */
  public synchronized boolean isUnreachable() {
    return down || faults.refusesConnections();
  }

  /** Load without lag, for checkers. */
  public synchronized EngineReport currentReport() {
    long now = scheduler.nanoTime();
    List<RunningGeneration> running = new ArrayList<>();
    batch.all().forEach(generation -> running.add(generation.report(now)));
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

  /** Marks the engine as leaving, and takes it away for good after the notice. */
  public synchronized void reclaim(Duration notice) {
    markLeaving();
    long reclaimed = incarnation;
    scheduler.schedule(notice, () -> endReclaimed(reclaimed));
  }

  private synchronized void endReclaimed(long reclaimed) {
    if (incarnation == reclaimed) {
      crash(false);
    }
  }

  /** Kills the engine; all its generations are lost and all its connections fail. */
  public void crash() {
    crash(true);
  }

  private synchronized void crash(boolean mayRestart) {
    if (down) {
      return;
    }
    down = true;
    history.crashed();
    step.cancel();
    stepPlanned = false;
    cutAllReaders();
    generations.clear();
    batch.clear();
    availability.availabilityChanged(false);
    if (mayRestart) {
      faults.automaticRestart().ifPresent(delay -> scheduler.schedule(delay, this::restart));
    }
  }

  /** Starts the engine again after a crash, with a new incarnation and without generations. */
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
    availability.availabilityChanged(true);
  }

  /** Lets all streams stand still for a while; generations continue. */
  public synchronized void stallStreams(Duration duration) {
    stalledUntilNanos = scheduler.nanoTime() + duration.toNanos();
    scheduler.schedule(duration, this::sendAll);
  }

  /** Cuts the connection of the reader of a generation; the generation continues. */
  public synchronized void cutReader(String generationId) {
    SimulatedGeneration generation = generations.get(generationId);
    if (generation != null && generation.reader != null) {
      generation.reader.sendFailure(lost(Step.STREAM, "the connection was cut"));
      release(generation);
    }
  }

  /** Cuts the connections of all readers. */
  public synchronized void cutAllReaders() {
    new ArrayList<>(generations.keySet()).stream().sorted().forEach(this::cutReader);
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
    return call(() -> cancelNow(generationId, onlyIfUnattached));
  }

  @Override
  public CompletableFuture<EngineReport> report() {
    return call(() -> reports.report(scheduler.nanoTime()));
  }

  @Override
  public CompletableFuture<Void> order(EngineOrder order) {
    return call(() -> orderNow(order));
  }

  private SimulatedReader newReader(TokenListener listener) {
    return new SimulatedReader(this, scheduler, settings.networkLatency(), listener);
  }

  private synchronized void acceptGeneration(EngineRequest request, SimulatedReader reader) {
    if (isUnreachable()) {
      reader.sendFailure(refusedConnection());
    } else if (random.nextDouble() < faults.lostRequests()) {
      reader.sendFailure(lost(Step.SEND, "the connection was cut before an answer"));
    } else if (leaving && settings.refusesWhenLeaving()) {
      reader.sendFailure(refused(FailureCode.LEAVING, "the engine is leaving"));
    } else if (PrefixCache.tokensOf(request.prompt()) >= settings.capacityTokens()) {
      reader.sendFailure(refused(FailureCode.TOO_LARGE, "the prompt exceeds the memory"));
    } else {
      start(request, reader);
    }
  }

  private void start(EngineRequest request, SimulatedReader reader) {
    long now = scheduler.nanoTime();
    Duration afterLeaving = Duration.ofNanos(leaving ? now - leavingSinceNanos : 0);
    history.started(request.generationId(), afterLeaving);
    if (generations.containsKey(request.generationId())) {
      reader.sendFailure(refused(FailureCode.DUPLICATE, "the generation id is in use"));
      return;
    }
    SimulatedGeneration generation =
        new SimulatedGeneration(request, arrivals++, lengths.draw(request.prompt()));
    generation.unattachedSinceNanos = now;
    generations.put(generation.id(), generation);
    batch.add(generation);
    attach(generation, reader);
    planStep();
  }

  private synchronized void acceptResume(String id, long offset, SimulatedReader reader) {
    if (isUnreachable()) {
      reader.sendFailure(refusedConnection());
      return;
    }
    SimulatedGeneration generation = generations.get(id);
    if (generation == null || offset < 0 || offset > generation.generated) {
      reader.sendFailure(refused(FailureCode.NOT_FOUND, "no generation " + id + " at " + offset));
      return;
    }
    if (generation.reader != null) {
      generation.reader.sendFailure(lost(Step.STREAM, "another reader replaced this one"));
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
      release(reader.generation);
    }
  }

  private void release(SimulatedGeneration generation) {
    generation.reader = null;
    generation.unattachedSinceNanos = scheduler.nanoTime();
  }

  private synchronized void sendAll() {
    byArrival().forEach(this::send);
  }

  private List<SimulatedGeneration> byArrival() {
    List<SimulatedGeneration> all = new ArrayList<>(generations.values());
    all.sort((left, right) -> Long.compare(left.arrival, right.arrival));
    return all;
  }

  private void send(SimulatedGeneration generation) {
    boolean stalled = scheduler.nanoTime() - stalledUntilNanos < 0;
    if (generation.reader != null && !stalled && sender.send(generation, generation.reader)) {
      release(generation);
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
            .anyMatch(generation -> faults.crashes(generation.request.prompt()));
    if (crashes) {
      crash(true);
      return;
    }
    recentSteps.addLast(duration);
    if (recentSteps.size() > STEPS_IN_MEDIAN) {
      recentSteps.removeFirst();
    }
    for (SimulatedGeneration generation : batch.finishStep()) {
      send(generation);
      if (generation.ended()) {
        forgetLater(generation);
      }
    }
    reports.record(scheduler.nanoTime(), batch.isEmpty());
    planStep();
  }

  private void forgetLater(SimulatedGeneration generation) {
    scheduler.schedule(settings.retention(), () -> forget(generation));
  }

  private synchronized void forget(SimulatedGeneration generation) {
    if (generation.reader != null) {
      generation.reader.sendFailure(lost(Step.STREAM, "the generation is no longer kept"));
    }
    generations.remove(generation.id(), generation);
  }

  private double medianStepMillis() {
    List<Duration> sorted = new ArrayList<>(recentSteps);
    sorted.sort(null);
    return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2).toNanos() / 1e6;
  }

  private boolean cancelNow(String id, boolean onlyIfUnattached) {
    SimulatedGeneration generation = generations.get(id);
    boolean attached = generation != null && generation.reader != null;
    if (generation == null || generation.ended() || (onlyIfUnattached && attached)) {
      return false;
    }
    batch.remove(generation);
    generation.endReason = GenerationEnd.Reason.CANCELLED;
    send(generation);
    forgetLater(generation);
    reports.record(scheduler.nanoTime(), true);
    return true;
  }

  private Void orderNow(EngineOrder order) {
    if (settings.enforcesFencing() && order.fencingToken() < highestFencingToken) {
      String message = "token " + order.fencingToken() + " is below " + highestFencingToken;
      throw new ConflictException(Step.SEND, name, message);
    }
    highestFencingToken = Math.max(highestFencingToken, order.fencingToken());
    boolean loads = !loadedModels.containsAll(order.models());
    long number = ++acceptedOrders;
    history.ordered(order, loads);
    Duration delay = loads ? settings.modelLoadTime() : Duration.ZERO;
    scheduler.schedule(delay, () -> finishOrder(order, number, incarnation));
    return null;
  }

  private synchronized void finishOrder(EngineOrder order, long number, long orderedAt) {
    if (number == acceptedOrders && orderedAt == incarnation && !down) {
      loadedModels = List.copyOf(order.models());
      reports.record(scheduler.nanoTime(), true);
    }
  }

  private <T> CompletableFuture<T> call(Supplier<T> operation) {
    CompletableFuture<T> result = new CompletableFuture<>();
    scheduler.schedule(settings.networkLatency(), () -> answer(operation, result));
    return result;
  }

  private synchronized <T> void answer(Supplier<T> operation, CompletableFuture<T> result) {
    if (isUnreachable()) {
      scheduler.execute(() -> result.completeExceptionally(refusedConnection()));
      return;
    }
    long answering = incarnation;
    Runnable completion;
    try {
      T value = operation.get();
      completion = () -> result.complete(value);
    } catch (BasilportException e) {
      completion = () -> result.completeExceptionally(e);
    }
    Runnable answer = completion;
    scheduler.schedule(
        settings.networkLatency(),
        () -> {
          if (isDown() || incarnation() != answering) {
            result.completeExceptionally(lost(Step.SEND, "the engine crashed before its answer"));
          } else {
            answer.run();
          }
        });
  }

  private BackendException refusedConnection() {
    return new BackendException(
        FailureCode.BACKEND_LOST, Outcome.NOT_RUN, Step.CONNECT, name, "connection refused", null);
  }

  private BackendException refused(FailureCode code, String message) {
    return new BackendException(code, Outcome.NOT_RUN, Step.SEND, name, message, null);
  }

  private BackendException lost(Step at, String message) {
    return new BackendException(
        FailureCode.BACKEND_LOST, Outcome.MAY_HAVE_RUN, at, name, message, null);
  }
}
