package org.basilport.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.basilport.engine.EngineOrder;
import org.basilport.engine.EngineReport;
import org.basilport.engine.EngineRequest;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.ModelEngine;
import org.basilport.engine.RunningGeneration;
import org.basilport.engine.TokenFrame;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.error.BackendException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.misc.VirtualScheduler;

/** An engine that makes one token every 10 ms and dies of prompts that contain "crash". */
public final class FakeEngine implements ModelEngine {
  private static final Duration TOKEN_TIME = Duration.ofMillis(10);

  /** Replaces each frame by the frames that the reader receives. */
  public Function<TokenFrame, List<TokenFrame>> frameFault = List::of;

  /** Whether connections are refused. */
  public boolean refusesConnections;

  /** Runs when the engine dies. */
  public Runnable onDeath = () -> {};

  /** Ids of the generations that were started, in order. */
  public final List<String> started = new ArrayList<>();

  /** Ids of the generations that were cancelled. */
  public final List<String> cancelled = new ArrayList<>();

  /** Largest number of frames that were ever allowed but not sent. */
  public int maxOutstandingCredit;

  private final VirtualScheduler scheduler;
  private final Map<String, Generation> generations = new HashMap<>();

  /** Creates an idle engine. */
  public FakeEngine(VirtualScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Kills the engine: all generations are lost, and connections are refused from now on. */
  public void crash() {
    refusesConnections = true;
    breakConnections();
    generations.clear();
    onDeath.run();
  }

  /** Breaks the connections of all readers; the generations go on. */
  public void breakConnections() {
    List.copyOf(generations.values()).forEach(generation -> generation.fail(lost()));
  }

  /** Whether a generation runs or is kept. */
  public boolean contains(String generationId) {
    return generations.containsKey(generationId);
  }

  /** The report of this moment. */
  public EngineReport snapshot(long incarnation) {
    List<RunningGeneration> running =
        generations.values().stream()
            .filter(generation -> !generation.complete())
            .map(Generation::describe)
            .toList();
    return new EngineReport(
        incarnation, false, 1_000_000, 0, 0, 0, 10, List.of("model"), running, 0);
  }

  @Override
  public TokenStream generate(EngineRequest request, TokenListener listener) {
    if (refusesConnections) {
      scheduler.execute(() -> listener.onFailure(refused()));
      return new Reader(null, listener);
    }
    started.add(request.generationId());
    if (request.prompt().contains("crash")) {
      scheduler.schedule(TOKEN_TIME, this::crash);
    }
    Generation generation = new Generation(request.generationId(), request.maxTokens());
    generations.put(request.generationId(), generation);
    scheduler.schedule(TOKEN_TIME, generation::produce);
    return generation.attach(0, listener);
  }

  @Override
  public TokenStream resume(String generationId, long offset, TokenListener listener) {
    Generation generation = generations.get(generationId);
    if (generation == null) {
      BackendException failure = refusesConnections ? refused() : notFound();
      scheduler.execute(() -> listener.onFailure(failure));
      return new Reader(null, listener);
    }
    return generation.attach(offset, listener);
  }

  @Override
  public CompletableFuture<Boolean> cancel(String generationId, boolean onlyIfUnattached) {
    Generation generation = generations.get(generationId);
    boolean runs = generation != null && !generation.complete();
    boolean cancels = runs && !(onlyIfUnattached && generation.reader != null);
    if (cancels) {
      generations.remove(generationId);
      cancelled.add(generationId);
    }
    return CompletableFuture.completedFuture(cancels);
  }

  @Override
  public CompletableFuture<EngineReport> report() {
    return CompletableFuture.completedFuture(snapshot(1));
  }

  @Override
  public CompletableFuture<Void> order(EngineOrder order) {
    return CompletableFuture.completedFuture(null);
  }

  private static BackendException refused() {
    return failure(FailureCode.NO_BACKEND, Outcome.NOT_RUN, Step.CONNECT);
  }

  private static BackendException notFound() {
    return failure(FailureCode.NOT_FOUND, Outcome.MAY_HAVE_RUN, Step.STREAM);
  }

  private static BackendException lost() {
    return failure(FailureCode.BACKEND_LOST, Outcome.MAY_HAVE_RUN, Step.STREAM);
  }

  private static BackendException failure(FailureCode code, Outcome outcome, Step step) {
    return new BackendException(code, outcome, step, "engine", "fault of the test", null);
  }

  private final class Generation {
    private final String id;
    private final int length;
    private long made;
    private long sent;
    private Reader reader;
    private long unattachedSince;

    Generation(String id, int length) {
      this.id = id;
      this.length = length;
    }

    boolean complete() {
      return made >= length;
    }

    RunningGeneration describe() {
      long millis = reader != null ? 0 : (scheduler.nanoTime() - unattachedSince) / 1_000_000;
      return new RunningGeneration(id, "w", made, made, millis);
    }

    void produce() {
      if (generations.get(id) != this) {
        return;
      }
      made++;
      pump();
      if (!complete()) {
        scheduler.schedule(TOKEN_TIME, this::produce);
      }
    }

    Reader attach(long offset, TokenListener listener) {
      reader = new Reader(this, listener);
      sent = offset;
      scheduler.execute(this::pump);
      return reader;
    }

    void fail(BackendException failure) {
      if (reader != null) {
        TokenListener listener = reader.listener;
        reader = null;
        unattachedSince = scheduler.nanoTime();
        listener.onFailure(failure);
      }
    }

    void pump() {
      while (reader != null && reader.credits > 0 && sent < made) {
        reader.credits--;
        TokenFrame frame = new TokenFrame(id, sent, List.of(id + ":" + sent));
        sent++;
        TokenListener listener = reader.listener;
        frameFault.apply(frame).forEach(listener::onTokens);
      }
      if (reader != null && complete() && sent == made) {
        reader.listener.onEnd(new GenerationEnd(id, made, GenerationEnd.Reason.STOP));
        reader = null;
        unattachedSince = scheduler.nanoTime();
      }
    }
  }

  private final class Reader implements TokenStream {
    private final Generation generation;
    private final TokenListener listener;
    private int credits;

    Reader(Generation generation, TokenListener listener) {
      this.generation = generation;
      this.listener = listener;
    }

    @Override
    public void request(int frames) {
      credits += frames;
      maxOutstandingCredit = Math.max(maxOutstandingCredit, credits);
      if (generation != null) {
        scheduler.execute(generation::pump);
      }
    }

    @Override
    public void close() {
      if (generation != null && generation.reader == this) {
        generation.reader = null;
        generation.unattachedSince = scheduler.nanoTime();
      }
    }
  }
}
