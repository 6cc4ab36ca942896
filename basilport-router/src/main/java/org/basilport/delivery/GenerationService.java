package org.basilport.delivery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.basilport.backend.BackendListener;
import org.basilport.backend.BackendServer;
import org.basilport.engine.EngineReport;
import org.basilport.error.BackendException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.membership.MembershipView;
import org.basilport.policy.GenerationClass;
import org.basilport.policy.GenerationPolicyFactory;
import org.basilport.policy.PolicySettings;

/** Runs and resumes the generations of an instance; safe to use from any thread. */
public final class GenerationService implements BackendListener {
  private final DeliveryEnvironment environment;
  private final MembershipView membership;
  private final GenerationPolicyFactory policies;
  private final SplittableRandom random;
  private final AbandonedGenerationReaper abandonedReaper;
  private final Map<String, GenerationDispatcher> dispatchers = new HashMap<>();
  private final Map<String, PolicySettings> settingsInUse = new HashMap<>();
  private final Map<String, GenerationSession> sessions = new ConcurrentHashMap<>();
  // Confined to the control scheduler, unlike the other state.
  private final Map<String, Long> lastPreemptionCounts = new HashMap<>();
  private Optional<List<String>> drainAddresses = Optional.empty();

  /** Creates a service without sessions; the caller must register it as a backend listener. */
  public GenerationService(
      DeliveryEnvironment environment,
      MembershipView membership,
      GenerationPolicyFactory policies,
      SplittableRandom random) {
    this.environment = environment;
    this.membership = membership;
    this.policies = policies;
    this.random = random;
    this.abandonedReaper = new AbandonedGenerationReaper(environment, membership);
  }

  /** Starts a generation. {@code onDone} runs once, when the session has ended. */
  public GenerationHandle generate(
      GenerationTask task, PolicySettings settings, GenerationListener listener, Runnable onDone) {
    SessionHandle handle = new SessionHandle(environment.traffic(), task.requestId());
    environment
        .traffic()
        .execute(
            () -> {
              GenerationSession session = newSession(task, settings, listener, onDone, null);
              handle.attach(session);
              if (drainAddresses.isPresent()) {
                session.rejectUnlessRunning(drainAddresses.get());
              } else {
                session.begin();
              }
            });
    return handle;
  }

  /** Resumes reading the generation of a verified token. */
  public GenerationHandle resume(
      ResumeToken token,
      PolicySettings settings,
      GenerationClass generationClass,
      GenerationListener listener,
      Runnable onDone) {
    String requestId = token.generationId();
    GenerationTask task =
        new GenerationTask(
            requestId,
            token.workspace(),
            token.service(),
            settings.model(),
            new GenerationRequest("", "", 0),
            generationClass,
            token.fingerprint());
    SessionHandle handle = new SessionHandle(environment.traffic(), requestId);
    environment
        .traffic()
        .execute(
            () -> {
              GenerationSession session = newSession(task, settings, listener, onDone, token);
              handle.attach(session);
              session.beginResume(token);
            });
    return handle;
  }

  /** Cancels the generation of a verified token. */
  public CompletableFuture<Boolean> cancel(ResumeToken token) {
    Optional<BackendServer> server = environment.backends().find(token.serverId());
    if (server.isEmpty() || server.get().incarnation() != token.incarnation()) {
      return CompletableFuture.failedFuture(
          new BackendException(
              FailureCode.NOT_FOUND,
              Outcome.MAY_HAVE_RUN,
              Step.STREAM,
              token.serverId(),
              "the backend server that ran the generation is gone",
              null));
    }
    return environment
        .engines()
        .connect(server.get().address())
        .cancel(token.generationId(), false);
  }

  /** Rejects queued and new generations, referring callers to the addresses of other instances. */
  public void rejectQueuedAndNew(List<String> addresses) {
    environment
        .traffic()
        .execute(
            () -> {
              drainAddresses = Optional.of(addresses);
              sessionSnapshot().forEach(session -> session.rejectUnlessRunning(addresses));
            });
  }

  /** Hands the running streams over to other instances. */
  public void handOver(List<String> addresses) {
    environment
        .traffic()
        .execute(() -> sessionSnapshot().forEach(session -> session.handOver(addresses)));
  }

  /** Returns the ids of queued and running requests. */
  public List<String> activeRequestIds() {
    return List.copyOf(sessions.keySet());
  }

  @Override
  public void onCrash(BackendServer server) {
    environment
        .traffic()
        .execute(() -> sessionSnapshot().forEach(session -> session.onServerCrash(server)));
  }

  @Override
  public void onLoadReport(BackendServer server, EngineReport report) {
    abandonedReaper.onLoadReport(server, report);
    countPreemptions(server, report);
    environment
        .traffic()
        .execute(
            () -> {
              GenerationDispatcher dispatcher = dispatchers.get(server.service());
              if (dispatcher != null) {
                dispatcher.recordReport(server.id());
                dispatcher.place();
              }
            });
  }

  private void countPreemptions(BackendServer server, EngineReport report) {
    Long previous = lastPreemptionCounts.put(server.id(), report.preemptions());
    // The engine's counter restarts from 0 with each incarnation.
    if (previous != null && report.preemptions() > previous) {
      environment.metrics().countPreemptions(server.service(), report.preemptions() - previous);
    }
  }

  private List<GenerationSession> sessionSnapshot() {
    return new ArrayList<>(sessions.values());
  }

  private GenerationSession newSession(
      GenerationTask task,
      PolicySettings settings,
      GenerationListener listener,
      Runnable onDone,
      ResumeToken token) {
    // A caller may resume while its earlier session still runs here, so keys must be unique.
    String key = sessions.containsKey(task.requestId()) ? uniqueKey(task) : task.requestId();
    GenerationSession session =
        new GenerationSession(
            environment,
            task,
            dispatcher(settings),
            listener,
            () -> {
              sessions.remove(key);
              onDone.run();
            },
            Optional.ofNullable(token));
    sessions.put(key, session);
    return session;
  }

  private String uniqueKey(GenerationTask task) {
    return task.requestId() + "#" + Long.toString(random.nextLong() >>> 1, Character.MAX_RADIX);
  }

  /** Returns the dispatcher of a service; changed settings apply to later requests only. */
  private GenerationDispatcher dispatcher(PolicySettings settings) {
    // Storing the latest equal object lets the next equals() succeed by identity.
    PolicySettings previous = settingsInUse.put(settings.service(), settings);
    if (!settings.equals(previous)) {
      dispatchers.put(
          settings.service(),
          new GenerationDispatcher(
              settings.service(),
              policies.create(settings, random.split()),
              environment,
              membership));
    }
    return dispatchers.get(settings.service());
  }
}
