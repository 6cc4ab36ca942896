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

/** The generations of an instance; methods are safe to call from any thread. */
public final class GenerationService implements BackendListener {
  private final DeliveryEnvironment environment;
  private final MembershipView membership;
  private final GenerationPolicyFactory policies;
  private final SplittableRandom random;
  private final AbandonedGenerations abandoned;
  private final Map<String, ServiceDispatcher> dispatchers = new HashMap<>();
  private final Map<String, PolicySettings> settingsInUse = new HashMap<>();
  private final Map<String, GenerationSession> sessions = new ConcurrentHashMap<>();
  // Confined to the control scheduler, unlike the other state.
  private final Map<String, Long> preemptions = new HashMap<>();
  private Optional<List<String>> leavingTo = Optional.empty();

  /** Creates a service without sessions; add it as a listener of the backend servers. */
  public GenerationService(
      DeliveryEnvironment environment,
      MembershipView membership,
      GenerationPolicyFactory policies,
      SplittableRandom random) {
    this.environment = environment;
    this.membership = membership;
    this.policies = policies;
    this.random = random;
    this.abandoned = new AbandonedGenerations(environment, membership);
  }

  /** Starts a generation. {@code onDone} runs once when the session has ended. */
  public GenerationHandle generate(
      GenerationTask work, PolicySettings settings, GenerationListener listener, Runnable onDone) {
    SessionHandle handle = new SessionHandle(environment.traffic(), work.requestId());
    environment
        .traffic()
        .execute(
            () -> {
              GenerationSession session = newSession(work, settings, listener, onDone, null);
              handle.attach(session);
              if (leavingTo.isPresent()) {
                session.leave(leavingTo.get());
              } else {
                session.begin();
              }
            });
    return handle;
  }

  /** Goes on reading the generation that a checked token names. */
  public GenerationHandle resume(
      ResumeToken token,
      PolicySettings settings,
      GenerationClass generationClass,
      GenerationListener listener,
      Runnable onDone) {
    String requestId = token.generationId();
    GenerationTask work =
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
              GenerationSession session = newSession(work, settings, listener, onDone, token);
              handle.attach(session);
              session.beginResume(token);
            });
    return handle;
  }

  /** Cancels the generation that a checked token names. */
  public CompletableFuture<Boolean> cancel(ResumeToken token) {
    Optional<BackendServer> server = environment.backends().find(token.serverId());
    if (server.isEmpty() || server.get().incarnation() != token.incarnation()) {
      return CompletableFuture.failedFuture(
          new BackendException(
              FailureCode.NOT_FOUND,
              Outcome.MAY_HAVE_RUN,
              Step.STREAM,
              token.serverId(),
              "the backend server that held the generation is gone",
              null));
    }
    return environment
        .engines()
        .connect(server.get().address())
        .cancel(token.generationId(), false);
  }

  /** Refuses work that waits, and new work, with the addresses of other instances. */
  public void refuseQueuedAndNew(List<String> addresses) {
    environment
        .traffic()
        .execute(
            () -> {
              leavingTo = Optional.of(addresses);
              snapshot().forEach(session -> session.leave(addresses));
            });
  }

  /** Hands the remaining streams over to other instances. */
  public void handOver(List<String> addresses) {
    environment.traffic().execute(() -> snapshot().forEach(session -> session.handOver(addresses)));
  }

  /** Ids of the requests that wait or run. */
  public List<String> activeRequestIds() {
    return List.copyOf(sessions.keySet());
  }

  @Override
  public void onDeath(BackendServer server) {
    environment.traffic().execute(() -> snapshot().forEach(session -> session.serverDied(server)));
  }

  @Override
  public void onLoadReport(BackendServer server, EngineReport report) {
    abandoned.onLoadReport(server, report);
    countPreemptions(server, report);
    environment
        .traffic()
        .execute(
            () -> {
              ServiceDispatcher dispatcher = dispatchers.get(server.service());
              if (dispatcher != null) {
                dispatcher.reported(server.id());
                dispatcher.place();
              }
            });
  }

  private void countPreemptions(BackendServer server, EngineReport report) {
    Long earlier = preemptions.put(server.id(), report.preemptions());
    // The count starts again with each incarnation of an engine.
    if (earlier != null && report.preemptions() > earlier) {
      environment.metrics().preempted(server.service(), report.preemptions() - earlier);
    }
  }

  private List<GenerationSession> snapshot() {
    return new ArrayList<>(sessions.values());
  }

  private GenerationSession newSession(
      GenerationTask work,
      PolicySettings settings,
      GenerationListener listener,
      Runnable onDone,
      ResumeToken token) {
    // A caller may resume while its earlier session still runs here; the key tells them apart.
    String key = sessions.containsKey(work.requestId()) ? uniqueKey(work) : work.requestId();
    GenerationSession session =
        new GenerationSession(
            environment,
            work,
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

  private String uniqueKey(GenerationTask work) {
    return work.requestId() + "#" + Long.toString(random.nextLong() >>> 1, Character.MAX_RADIX);
  }

  /** Returns the dispatcher of a service; changed settings apply to work that comes later. */
  private ServiceDispatcher dispatcher(PolicySettings settings) {
    // The latest equal object is kept, so that the next comparison ends at once.
    PolicySettings earlier = settingsInUse.put(settings.service(), settings);
    if (!settings.equals(earlier)) {
      dispatchers.put(
          settings.service(),
          new ServiceDispatcher(
              settings.service(),
              policies.create(settings, random.split()),
              environment,
              membership));
    }
    return dispatchers.get(settings.service());
  }
}
