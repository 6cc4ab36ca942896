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
 * Applies accepted configurations to this instance and propagates them to peers. All methods except
 * {@link #current} and {@link #confirmedWithin} run on the control thread.
 */
public final class ConfigurationPropagation implements ConfigurationView, GossipParticipant {
  private static final String WATCH_TASK = "config-watch";
  private static final int WATCHERS_PER_DATA_CENTRE = 2;
  private static final Duration WATCH_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_CONCURRENT_FETCHES = 2;
  private static final byte[] EMPTY_BODY = {};

  private final String selfId;
  private final PlatformConfigurationStore store;
  private final GossipMembership membership;
  private final PeerConnector peers;
  private final Scheduler control;
  private final EventSink events;
  private final Runnable pushGossip;
  private final Set<String> fetchingFrom = new HashSet<>();
  private final Map<String, Long> offers = new HashMap<>();
  private long headVersion;
  private boolean platformAvailable = true;
  private boolean platformCallInProgress;
  private long lastPollNanos;
  private boolean hasPolled;
  private byte[] encodedBody = EMPTY_BODY;
  private byte[] previousEncodedBody = EMPTY_BODY;
  private long previousNumber;
  private byte[] encodedTransfer = EMPTY_BODY;
  private long transferBaseNumber;
  private boolean fetchWithoutBase;
  private volatile AcceptedConfiguration current;
  private volatile long confirmedAtNanos;

  /**
   * Creates the propagation of an instance.
   *
   * @param pushGossip sends gossip to a few random peers at once
   */
  public ConfigurationPropagation(
      PlatformConfigurationStore store,
      GossipMembership membership,
      PeerConnector peers,
      Scheduler control,
      EventSink events,
      Runnable pushGossip) {
    this.selfId = membership.self().id();
    this.store = store;
    this.membership = membership;
    this.peers = peers;
    this.control = control;
    this.events = events;
    this.pushGossip = pushGossip;
  }

  @Override
  public Optional<AcceptedConfiguration> current() {
    return Optional.ofNullable(current);
  }

  /** Returns whether a peer or the platform confirmed the current configuration within a time. */
  public boolean confirmedWithin(Duration within) {
    return current != null && control.nanoTime() - confirmedAtNanos <= within.toNanos();
  }

  /**
   * Watches or polls the platform if this instance is assigned to do so or has no peers.
   *
   * @param hasPeers whether gossip arrived recently; if so, only watchers contact the platform
   */
  public void tick(boolean hasPeers) {
    boolean watcher = membership.isAssigned(WATCH_TASK, WATCHERS_PER_DATA_CENTRE);
    if (platformCallInProgress || (hasPeers && !watcher)) {
      return;
    }
    if (watcher && platformAvailable && hasPolled) {
      platformCallInProgress = true;
      store
          .watch(headVersion, WATCH_TIMEOUT)
          .whenCompleteAsync(this::handlePlatformResult, control);
    } else if (!hasPolled || control.nanoTime() - lastPollNanos >= POLL_INTERVAL.toNanos()) {
      pollPlatform();
    }
  }

  /** Installs a configuration if it is newer than the current one; the same one confirms it. */
  public void adopt(AcceptedConfiguration configuration, String source) {
    if (configuration.number() == currentNumber()) {
      confirmedAtNanos = control.nanoTime();
    }
    if (configuration.number() > currentNumber()) {
      install(configuration, source);
    }
  }

  /** Returns the current configuration if its number is larger than the requested one. */
  public ConfigurationMessage respond(FetchConfigurationRequest request) {
    AcceptedConfiguration configuration = current;
    if (configuration == null || configuration.number() <= request.getLargerThan()) {
      return ConfigurationMessage.getDefaultInstance();
    }
    return ConfigurationMessage.newBuilder()
        .setNumber(configuration.number())
        .setApplyId(configuration.applyId())
        .setAuthor(configuration.author())
        .setAcceptedAtMillis(configuration.acceptedAt().toEpochMilli())
        .setBody(ByteString.copyFrom(encodedTransfer(request.getLargerThan())))
        .build();
  }

  /** Returns the body encoded for a peer with the given configuration; the last one is cached. */
  private byte[] encodedTransfer(long baseNumber) {
    long base = baseNumber == previousNumber ? previousNumber : 0;
    if (encodedTransfer.length == 0 || transferBaseNumber != base) {
      transferBaseNumber = base;
      encodedTransfer =
          ConfigurationTransfer.encode(encodedBody, base == 0 ? EMPTY_BODY : previousEncodedBody);
    }
    return encodedTransfer;
  }

  /**
   * Asks peers and the platform for a newer configuration. Completes when the platform has
   * responded or when all requests have ended.
   */
  public CompletableFuture<Void> refresh(List<String> peerAddresses) {
    CompletableFuture<?>[] fetches =
        peerAddresses.stream().map(this::fetch).toArray(CompletableFuture[]::new);
    CompletableFuture<Void> platform = pollPlatform();
    CompletableFuture<Void> done = new CompletableFuture<>();
    platform.whenComplete(
        (ignored, failure) -> {
          if (failure == null) {
            done.complete(null);
          }
        });
    CompletableFuture.allOf(fetches)
        .handle((ignored, failure) -> platform.handle((value, problem) -> null))
        .thenCompose(both -> both)
        .whenComplete((ignored, failure) -> done.complete(null));
    return done;
  }

  @Override
  public void contribute(GossipMessage.Builder message, int maxBytes) {
    message.setConfigurationNumber(currentNumber());
  }

  @Override
  public void receive(GossipMessage message) {
    long offeredNumber = message.getConfigurationNumber();
    if (offeredNumber == currentNumber()) {
      confirmedAtNanos = control.nanoTime();
    }
    if (offeredNumber > currentNumber()) {
      membership
          .peerAddress(message.getSenderId())
          .ifPresent(
              address -> {
                offers.put(address, offeredNumber);
                fetchFromOffers();
              });
    }
  }

  /** Installs a configuration; its number must be larger than the current one. */
  void install(AcceptedConfiguration configuration, String source) {
    Invariant.check(
        configuration.number() > currentNumber(),
        events,
        "configuration-number-grows",
        "number "
            + configuration.number()
            + " from "
            + source
            + " would replace "
            + currentNumber());
    previousEncodedBody = encodedBody;
    previousNumber = currentNumber();
    encodedTransfer = EMPTY_BODY;
    fetchWithoutBase = false;
    encodedBody = DeploymentCodec.encode(configuration.deployment());
    current = configuration;
    confirmedAtNanos = control.nanoTime();
    offers.values().removeIf(offeredNumber -> offeredNumber <= configuration.number());
    membership.configurationNumber(configuration.number());
    events.record(
        EventType.CONFIGURATION_IN_FORCE, EventSubject.NONE, configuration.number(), source);
    pushGossip.run();
  }

  private long currentNumber() {
    return current == null ? 0 : current.number();
  }

  private void fetchFromOffers() {
    for (String address : List.copyOf(offers.keySet())) {
      if (fetchingFrom.size() < MAX_CONCURRENT_FETCHES && !fetchingFrom.contains(address)) {
        offers.remove(address);
        fetch(address);
      }
    }
  }

  private CompletableFuture<Void> fetch(String address) {
    fetchingFrom.add(address);
    byte[] base = fetchWithoutBase ? EMPTY_BODY : encodedBody;
    long baseNumber = fetchWithoutBase ? 0 : currentNumber();
    FetchConfigurationRequest request =
        FetchConfigurationRequest.newBuilder()
            .setSenderId(selfId)
            .setLargerThan(baseNumber)
            .build();
    return Deadline.limit(
            peers.connect(address).fetchConfiguration(request),
            control,
            FETCH_TIMEOUT,
            () -> PeerFailures.timedOut(address))
        .handleAsync(
            (message, failure) -> {
              fetchingFrom.remove(address);
              if (failure == null && message.getNumber() > 0) {
                adoptFetched(message, base, address);
              }
              fetchFromOffers();
              return null;
            },
            control);
  }

  private void adoptFetched(ConfigurationMessage message, byte[] base, String source) {
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
      // Instances of different versions may encode the configuration of a number differently.
      fetchWithoutBase = true;
      events.record(EventType.CONFIGURATION_REFUSED, EventSubject.NONE, source, e.getMessage());
    }
  }

  private CompletableFuture<Void> pollPlatform() {
    hasPolled = true;
    platformCallInProgress = true;
    lastPollNanos = control.nanoTime();
    return store
        .latestWithVersion()
        .handleAsync(
            (found, failure) -> {
              handlePlatformResult(found, failure);
              if (failure != null) {
                throw BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.CONFIGURE);
              }
              return null;
            },
            control);
  }

  private void handlePlatformResult(Optional<WatchedConfiguration> found, Throwable failure) {
    platformCallInProgress = false;
    platformAvailable = failure == null;
    if (failure != null) {
      return;
    }
    found.ifPresent(
        watched -> {
          headVersion = Math.max(headVersion, watched.headVersion());
          adopt(watched.configuration(), "platform");
        });
    if (found.isEmpty() && headVersion > 0) {
      confirmedAtNanos = control.nanoTime();
    }
    continueWatching();
  }

  private void continueWatching() {
    if (membership.isAssigned(WATCH_TASK, WATCHERS_PER_DATA_CENTRE)) {
      tick(true);
    }
  }
}
