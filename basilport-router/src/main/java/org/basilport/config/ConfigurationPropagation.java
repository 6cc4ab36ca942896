package org.basilport.config;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.event.Invariant;
import org.basilport.membership.GossipMembership;
import org.basilport.misc.Deadline;
import org.basilport.misc.Scheduler;
import org.basilport.peer.GossipParticipant;
import org.basilport.peer.PeerConnector;
import org.basilport.peer.PeerFailures;
import org.basilport.protocol.ConfigurationMessage;
import org.basilport.protocol.FetchConfigurationRequest;
import org.basilport.protocol.GossipMessage;

/**
 * Brings accepted configurations into force at this instance and passes them on. All methods but
 * {@link #inForce} and {@link #confirmedWithin} run on the control thread.
 */
public final class ConfigurationPropagation implements ConfigurationView, GossipParticipant {
  private static final String WATCH_DUTY = "config-watch";
  private static final int WATCHERS_PER_DATA_CENTRE = 2;
  private static final Duration WATCH_WAIT = Duration.ofMillis(1500);
  private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration FETCH_LIMIT = Duration.ofSeconds(1);
  private static final int MAX_FETCHES = 2;
  private static final byte[] NO_BODY = {};

  private final String selfId;
  private final CommonConfigurationStore store;
  private final GossipMembership membership;
  private final PeerConnector peers;
  private final Scheduler control;
  private final EventSink events;
  private final Runnable push;
  private final Set<String> fetchingFrom = new HashSet<>();
  private final Map<String, Long> fetchable = new HashMap<>();
  private long headVersion;
  private boolean platformAnswered = true;
  private boolean platformCall;
  private long lastPoll;
  private boolean polled;
  private byte[] body = NO_BODY;
  private byte[] previousBody = NO_BODY;
  private long previousNumber;
  private byte[] transfer = NO_BODY;
  private long transferBase;
  private boolean fetchWhole;
  private volatile AcceptedConfiguration current;
  private volatile long confirmedAt;

  /**
   * Creates the propagation of an instance.
   *
   * @param push sends gossip to a few random peers at once
   */
  public ConfigurationPropagation(
      CommonConfigurationStore store,
      GossipMembership membership,
      PeerConnector peers,
      Scheduler control,
      EventSink events,
      Runnable push) {
    this.selfId = membership.self().id();
    this.store = store;
    this.membership = membership;
    this.peers = peers;
    this.control = control;
    this.events = events;
    this.push = push;
  }

  @Override
  public Optional<AcceptedConfiguration> current() {
    return Optional.ofNullable(current);
  }

  /** Whether a peer or the platform confirmed the configuration in force within a time. */
  public boolean confirmedWithin(Duration within) {
    return current != null && control.nanoTime() - confirmedAt <= within.toNanos();
  }

  /**
   * Watches or polls the platform.
   *
   * @param hasPeers whether peers were heard lately, so that only watchers need the platform
   */
  public void tick(boolean hasPeers) {
    boolean watcher = membership.onDuty(WATCH_DUTY, WATCHERS_PER_DATA_CENTRE);
    if (platformCall || (hasPeers && !watcher)) {
      return;
    }
    if (watcher && platformAnswered && polled) {
      platformCall = true;
      store.watch(headVersion, WATCH_WAIT).whenCompleteAsync(this::platformAnswer, control);
    } else if (!polled || control.nanoTime() - lastPoll >= POLL_INTERVAL.toNanos()) {
      pollPlatform();
    }
  }

  /** Puts a configuration in force unless it is older than the current one. */
  public void adopt(AcceptedConfiguration configuration, String source) {
    if (configuration.number() == number()) {
      confirmedAt = control.nanoTime();
    }
    if (configuration.number() > number()) {
      install(configuration, source);
    }
  }

  /** Answers a peer that asks for a larger number than its own. */
  public ConfigurationMessage answer(FetchConfigurationRequest request) {
    AcceptedConfiguration configuration = current;
    if (configuration == null || configuration.number() <= request.getLargerThan()) {
      return ConfigurationMessage.getDefaultInstance();
    }
    return ConfigurationMessage.newBuilder()
        .setNumber(configuration.number())
        .setApplyId(configuration.applyId())
        .setAuthor(configuration.author())
        .setAcceptedAtMillis(configuration.acceptedAt().toEpochMilli())
        .setBody(ByteString.copyFrom(transfer(request.getLargerThan())))
        .build();
  }

  /** The body in the form for a peer that has a number in force; the last form is kept. */
  private byte[] transfer(long baseNumber) {
    long base = baseNumber == previousNumber ? previousNumber : 0;
    if (transfer.length == 0 || transferBase != base) {
      transferBase = base;
      transfer = ConfigurationTransfer.encode(body, base == 0 ? NO_BODY : previousBody);
    }
    return transfer;
  }

  /** Asks peers and the platform for a newer configuration; ends when one of them is sure. */
  public CompletableFuture<Void> recheck(List<String> peerAddresses) {
    CompletableFuture<?>[] asked =
        peerAddresses.stream().map(this::fetch).toArray(CompletableFuture[]::new);
    CompletableFuture<Void> platform = pollPlatform();
    CompletableFuture<Void> done = new CompletableFuture<>();
    platform.whenComplete(
        (ignored, failure) -> {
          if (failure == null) {
            done.complete(null);
          }
        });
    CompletableFuture.allOf(asked)
        .handle((ignored, failure) -> platform.handle((value, problem) -> null))
        .thenCompose(both -> both)
        .whenComplete((ignored, failure) -> done.complete(null));
    return done;
  }

  @Override
  public void contribute(GossipMessage.Builder message, int roomBytes) {
    message.setConfigurationNumber(number());
  }

  @Override
  public void receive(GossipMessage message) {
    long offered = message.getConfigurationNumber();
    if (offered == number()) {
      confirmedAt = control.nanoTime();
    }
    if (offered > number()) {
      membership
          .peerAddress(message.getSenderId())
          .ifPresent(
              address -> {
                fetchable.put(address, offered);
                fetchOffered();
              });
    }
  }

  /** Installs a configuration; its number must be larger than the one in force. */
  void install(AcceptedConfiguration configuration, String source) {
    Invariant.check(
        configuration.number() > number(),
        events,
        "configuration-number-grows",
        "number " + configuration.number() + " from " + source + " would replace " + number());
    previousBody = body;
    previousNumber = number();
    transfer = NO_BODY;
    fetchWhole = false;
    body = DeploymentCodec.encode(configuration.deployment());
    current = configuration;
    confirmedAt = control.nanoTime();
    fetchable.values().removeIf(offered -> offered <= configuration.number());
    membership.configurationNumber(configuration.number());
    events.record(
        EventType.CONFIGURATION_IN_FORCE, EventSubject.NONE, configuration.number(), source);
    push.run();
  }

  private long number() {
    return current == null ? 0 : current.number();
  }

  private void fetchOffered() {
    for (String address : List.copyOf(fetchable.keySet())) {
      if (fetchingFrom.size() < MAX_FETCHES && !fetchingFrom.contains(address)) {
        fetchable.remove(address);
        fetch(address);
      }
    }
  }

  private CompletableFuture<Void> fetch(String address) {
    fetchingFrom.add(address);
    byte[] base = fetchWhole ? NO_BODY : body;
    long baseNumber = fetchWhole ? 0 : number();
    FetchConfigurationRequest request =
        FetchConfigurationRequest.newBuilder()
            .setSenderId(selfId)
            .setLargerThan(baseNumber)
            .build();
    return Deadline.limit(
            peers.connect(address).fetchConfiguration(request),
            control,
            FETCH_LIMIT,
            () -> PeerFailures.timedOut(address))
        .handleAsync(
            (message, failure) -> {
              fetchingFrom.remove(address);
              if (failure == null && message.getNumber() > 0) {
                adoptFrom(message, base, address);
              }
              fetchOffered();
              return null;
            },
            control);
  }

  private void adoptFrom(ConfigurationMessage message, byte[] base, String source) {
    try {
      AcceptedConfiguration configuration =
          new AcceptedConfiguration(
              message.getNumber(),
              message.getApplyId(),
              message.getAuthor(),
              Instant.ofEpochMilli(message.getAcceptedAtMillis()),
              DeploymentCodec.decode(
                  ConfigurationTransfer.decode(message.getBody().toByteArray(), base)));
      adopt(configuration, source);
    } catch (InvalidConfigurationException e) {
      // Instances of different versions may have different bodies of the same number.
      fetchWhole = true;
      events.record(EventType.CONFIGURATION_REFUSED, EventSubject.NONE, source, e.getMessage());
    }
  }

  private CompletableFuture<Void> pollPlatform() {
    polled = true;
    platformCall = true;
    lastPoll = control.nanoTime();
    return store
        .latestWithVersion()
        .handleAsync(
            (found, failure) -> {
              platformAnswer(found, failure);
              if (failure != null) {
                throw BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.CONFIGURE);
              }
              return null;
            },
            control);
  }

  private void platformAnswer(Optional<WatchedConfiguration> found, Throwable failure) {
    platformCall = false;
    platformAnswered = failure == null;
    if (failure != null) {
      return;
    }
    found.ifPresent(
        watched -> {
          headVersion = Math.max(headVersion, watched.headVersion());
          adopt(watched.configuration(), "platform");
        });
    if (found.isEmpty() && headVersion > 0) {
      confirmedAt = control.nanoTime();
    }
    tickAgain();
  }

  private void tickAgain() {
    if (membership.onDuty(WATCH_DUTY, WATCHERS_PER_DATA_CENTRE)) {
      tick(true);
    }
  }
}
