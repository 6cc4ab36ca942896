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

/** Engine that generates one token every 10 ms and crashes on prompts that contain "crash". */
public final class FakeEngine implements ModelEngine {
  private static final Duration TOKEN_INTERVAL = Duration.ofMillis(10);

  /** Maps each frame to the frames that the reader receives. */
  public Function<TokenFrame, List<TokenFrame>> frameFault = List::of;

  /** Whether connections are refused. */
  public boolean refusesConnections;

  /** Runs when the engine crashes. */
  public Runnable onCrash = () -> {};

  /** Ids of the started generations, in order. */
  public final List<String> started = new ArrayList<>();

  /** Ids of the cancelled generations, in order. */
  public final List<String> cancelled = new ArrayList<>();

  /** Largest number of requested but unsent frames. */
  public int maxOutstandingCredit;

  private final VirtualScheduler scheduler;
  private final Map<String, Generation> generations = new HashMap<>();

  /** Creates an idle engine. */
  public FakeEngine(VirtualScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Crashes the engine: all generations are lost and new connections are refused. */
  public void crash() {
    refusesConnections = true;
    breakConnections();
    generations.clear();
    onCrash.run();
  }

  /** Breaks the connections of all readers; the generations continue. */
  public void breakConnections() {
    List.copyOf(generations.values()).forEach(generation -> generation.fail(connectionLost()));
  }

  /** Returns whether a generation is running or retained. */
  public boolean contains(String generationId) {
    return generations.containsKey(generationId);
  }

  /** Returns the current load report. */
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
      scheduler.execute(() -> listener.onFailure(connectionRefused()));
      return new Reader(null, listener);
    }
    started.add(request.generationId());
    if (request.prompt().contains("crash")) {
      scheduler.schedule(TOKEN_INTERVAL, this::crash);
    }
    Generation generation = new Generation(request.generationId(), request.maxTokens());
    generations.put(request.generationId(), generation);
    scheduler.schedule(TOKEN_INTERVAL, generation::generateToken);
    return generation.attach(0, listener);
  }

  @Override
  public TokenStream resume(String generationId, long offset, TokenListener listener) {
    Generation generation = generations.get(generationId);
    if (generation == null) {
      BackendException failure = refusesConnections ? connectionRefused() : notFound();
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

  private static BackendException connectionRefused() {
    return failure(FailureCode.NO_BACKEND, Outcome.NOT_RUN, Step.CONNECT);
  }

  private static BackendException notFound() {
    return failure(FailureCode.NOT_FOUND, Outcome.MAY_HAVE_RUN, Step.STREAM);
  }

  private static BackendException connectionLost() {
    return failure(FailureCode.BACKEND_LOST, Outcome.MAY_HAVE_RUN, Step.STREAM);
  }

  private static BackendException failure(FailureCode code, Outcome outcome, Step step) {
    return new BackendException(code, outcome, step, "engine", "fault of the test", null);
  }

  private final class Generation {
    private final String id;
    private final int maxTokens;
    private long generatedTokens;
    private long sentTokens;
    private Reader reader;
    private long unattachedSinceNanos;

    Generation(String id, int maxTokens) {
      this.id = id;
      this.maxTokens = maxTokens;
    }

    boolean complete() {
      return generatedTokens >= maxTokens;
    }

    RunningGeneration describe() {
      long millis = reader != null ? 0 : (scheduler.nanoTime() - unattachedSinceNanos) / 1_000_000;
      return new RunningGeneration(id, "w", generatedTokens, generatedTokens, millis);
    }

    void generateToken() {
      if (generations.get(id) != this) {
        return;
      }
      generatedTokens++;
      sendFrames();
      if (!complete()) {
        scheduler.schedule(TOKEN_INTERVAL, this::generateToken);
      }
    }

    Reader attach(long offset, TokenListener listener) {
      reader = new Reader(this, listener);
      sentTokens = offset;
      scheduler.execute(this::sendFrames);
      return reader;
    }

    void fail(BackendException failure) {
      if (reader != null) {
        TokenListener listener = reader.listener;
        reader = null;
        unattachedSinceNanos = scheduler.nanoTime();
        listener.onFailure(failure);
      }
    }

    void sendFrames() {
      while (reader != null && reader.credits > 0 && sentTokens < generatedTokens) {
        reader.credits--;
        TokenFrame frame = new TokenFrame(id, sentTokens, List.of(id + ":" + sentTokens));
        sentTokens++;
        TokenListener listener = reader.listener;
        frameFault.apply(frame).forEach(listener::onTokens);
      }
      if (reader != null && complete() && sentTokens == generatedTokens) {
        reader.listener.onEnd(new GenerationEnd(id, generatedTokens, GenerationEnd.Reason.STOP));
        reader = null;
        unattachedSinceNanos = scheduler.nanoTime();
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
        scheduler.execute(generation::sendFrames);
      }
    }

    @Override
    public void close() {
      if (generation != null && generation.reader == this) {
        generation.reader = null;
        generation.unattachedSinceNanos = scheduler.nanoTime();
      }
    }
  }
}
