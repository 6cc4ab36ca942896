package org.basilport.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.basilport.delivery.GenerationHandle;
import org.basilport.delivery.GenerationListener;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.router.Credentials;
import org.basilport.router.Router;

/**
 * Reads one streamed generation, reconnecting as needed, and checks that its tokens arrive
 * completely, in order and from one generation.
 */
final class GenerationCaller extends SoakCaller {
  private static final long LOSS_GRACE_NANOS = 25_000_000_000L;
  private static final int RECHECK_SECONDS = 40;

  private final String name;
  private final Credentials credentials;
  private final GenerationRequest request;
  private Connection connection;
  private int attempts;
  private long received;
  private long lastProgressNanos;
  private String generationId = "";
  private String resumeToken = "";
  private boolean ended;

  GenerationCaller(SoakSimulation simulation, long number) {
    super(simulation);
    this.name = "caller-" + number;
    this.credentials = SoakConfiguration.credentials(random.nextInt(100));
    String prompt = name + " note ".repeat(1 + random.nextInt(120));
    this.request =
        new GenerationRequest(
            SoakConfiguration.STREAM_ROUTE,
            prompt,
            20 + random.nextInt(SoakConfiguration.MAX_TOKENS - 20));
    this.lastProgressNanos = simulation.scheduler.nanoTime();
  }

  /** Sends the request, or resumes the stream when a resume token is known. */
  void start() {
    if (ended) {
      return;
    }
    if (attempts++ >= MAX_ATTEMPTS) {
      finish("gave-up");
      return;
    }
    SimulatedInstance instance = pickInstance();
    Connection opened = new Connection(instance);
    connection = opened;
    instance.connect(opened.onBroken);
    afterLatency(() -> instance.request(opened::open));
    startTimer(ANSWER_TIMEOUT, this::onTimeout);
  }

  private void onTimeout() {
    simulation.counts.add("generation.timeout");
    reconnect();
  }

  private void reconnect() {
    if (connection != null) {
      connection.close();
    }
    startTimer(RETRY_DELAY, this::start);
  }

  private void finish(String outcome) {
    ended = true;
    stopTimer();
    if (connection != null) {
      connection.close();
    }
    simulation.counts.add("generation." + outcome);
    simulation.addToTrace(name + outcome + received);
  }

  private void receive(long offset, List<String> tokens, String token) {
    require(
        offset == received, "G1", name + " received offset " + offset + " instead of " + received);
    for (String text : tokens) {
      checkToken(text);
      received++;
    }
    lastProgressNanos = simulation.scheduler.nanoTime();
    resumeToken = token;
    startTimer(ANSWER_TIMEOUT, this::onTimeout);
  }

  private void checkToken(String text) {
    int colon = text.indexOf(':');
    String tokenGenerationId = text.substring(0, colon);
    long index = Long.parseLong(text.substring(colon + 1).trim());
    if (generationId.isEmpty()) {
      generationId = tokenGenerationId;
    }
    require(
        tokenGenerationId.equals(generationId), "G1", name + " received tokens of two generations");
    require(
        index == received, "G1", name + " received token " + index + " at position " + received);
  }

  private void end(long total) {
    require(total == received, "G2", name + " received " + received + " of " + total + " tokens");
    finish("complete");
  }

  private void fail(BasilportException failure, Connection failed) {
    simulation.counts.add("generation.failure." + failure.code() + "." + failure.outcome());
    if (failure.outcome() == Outcome.LOST_PART_WAY) {
      checkLoss(failure);
      finish("lost");
      return;
    }
    if (failure.outcome() == Outcome.NOT_RUN && received == 0 && failed.initial) {
      failed.requestId().ifPresent(this::checkNotRun);
    }
    if (received > 0 && failure.code() == FailureCode.NOT_FOUND) {
      checkLoss(failure);
      finish("lost");
      return;
    }
    reconnect();
  }

  private void checkLoss(BasilportException failure) {
    long now = simulation.scheduler.nanoTime();
    boolean backendCrashed = simulation.counts.count("backend.down") > 0;
    boolean late = now - lastProgressNanos > LOSS_GRACE_NANOS;
    require(
        backendCrashed || late,
        "G2",
        name + " lost its generation although no backend server crashed: " + failure);
  }

  /** Checks that no engine ran the request, now and again after all delayed messages arrived. */
  private void checkNotRun(String requestId) {
    requireNotRun(requestId);
    simulation.scheduler.schedule(
        Duration.ofSeconds(RECHECK_SECONDS), () -> requireNotRun(requestId));
  }

  private void requireNotRun(String requestId) {
    for (SimulatedBackend backend : simulation.engines()) {
      for (int attempt = 0; attempt <= MAX_ATTEMPTS; attempt++) {
        int starts = backend.engine().orElseThrow().history().starts(requestId + "-" + attempt);
        require(
            starts == 0, "G3", requestId + " was reported as NOT_RUN but ran at " + backend.id());
      }
    }
  }

  /** A connection to one instance; everything that arrives after it was closed is ignored. */
  private final class Connection implements GenerationListener {
    private final SimulatedInstance instance;
    private final boolean initial = resumeToken.isEmpty();
    private final String token = resumeToken;
    private final Runnable onBroken = this::broken;
    private GenerationHandle handle;
    private boolean closed;

    Connection(SimulatedInstance instance) {
      this.instance = instance;
    }

    /** Runs inside the instance's process. */
    void open(Router router) {
      if (closed) {
        return;
      }
      try {
        handle =
            initial
                ? router.generate(credentials, request, this)
                : router.resume(credentials, token, this);
        handle.request(4);
      } catch (BasilportException e) {
        onFailure(e);
      }
    }

    Optional<String> requestId() {
      return Optional.ofNullable(handle).map(GenerationHandle::requestId);
    }

    private void broken() {
      deliver(GenerationCaller.this::reconnect);
    }

    void close() {
      if (closed) {
        return;
      }
      closed = true;
      instance.disconnect(onBroken);
      instance.request(
          router -> {
            if (handle != null) {
              handle.detach();
            }
          });
    }

    private void deliver(Runnable action) {
      afterLatency(
          () -> {
            if (!closed) {
              action.run();
            }
          });
    }

    @Override
    public void onTokens(long offset, List<String> tokens, String newToken) {
      deliver(
          () -> {
            receive(offset, tokens, newToken);
            instance.request(router -> handle.request(1));
          });
    }

    @Override
    public void onEnd(long totalTokens, String reason) {
      deliver(() -> end(totalTokens));
    }

    @Override
    public void onHandover(String newToken, List<String> addresses) {
      deliver(
          () -> {
            simulation.counts.add("generation.handover");
            resumeToken = newToken;
            reconnect();
          });
    }

    @Override
    public void onFailure(BasilportException failure) {
      deliver(() -> fail(failure, this));
    }
  }
}
