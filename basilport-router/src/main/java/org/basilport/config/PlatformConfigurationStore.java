package org.basilport.config;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.basilport.config.ConfigurationHead.AcceptedChange;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/**
 * Configuration store in the platform's object store; a conditional update of {@code config/head}
 * accepts a configuration.
 *
 * <p>If the response to that update is lost, the head is read again. It lists the recent apply ids,
 * which show whether the update took effect. If it did not, the same conditional update is
 * repeated: a delayed first update and the second one expect the same version, so only one can
 * succeed.
 */
public final class PlatformConfigurationStore implements ConfigurationStore {
  private static final String HEAD = "config/head";
  private static final int MAX_RECENT_CHANGES = 200;
  private static final int MAX_ATTEMPTS = 5;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final ObjectStore store;
  private final ConfigurationParts parts;
  private final Supplier<Instant> clock;
  private final EventSink events;

  /** Creates a configuration store on the given object store. */
  public PlatformConfigurationStore(ObjectStore store, Supplier<Instant> clock, EventSink events) {
    this.store = store;
    this.parts = new ConfigurationParts(store);
    this.clock = clock;
    this.events = events;
  }

  @Override
  public CompletableFuture<AcceptedConfiguration> accept(ConfigurationChange change) {
    List<ConfigurationProblem> problems = new DeploymentValidator().validate(change.deployment());
    if (!problems.isEmpty()) {
      return CompletableFuture.failedFuture(new InvalidConfigurationException(problems));
    }
    byte[] body = DeploymentCodec.encode(change.deployment());
    return attempt(new Acceptance(change, ConfigurationParts.sha256(body), body), 1);
  }

  @Override
  public CompletableFuture<Optional<AcceptedConfiguration>> latest() {
    return latestWithVersion().thenApply(found -> found.map(WatchedConfiguration::configuration));
  }

  @Override
  public CompletableFuture<List<HistoryEntry>> history() {
    return store
        .read(HEAD)
        .thenApply(
            head ->
                head
                    .map(PlatformConfigurationStore::decodeHead)
                    .map(ConfigurationHead::recent)
                    .orElse(List.of())
                    .stream()
                    .map(PlatformConfigurationStore::historyEntry)
                    .toList());
  }

  /** Reads the latest accepted configuration and the version of the head. */
  public CompletableFuture<Optional<WatchedConfiguration>> latestWithVersion() {
    return store.read(HEAD).thenCompose(this::load);
  }

  /** Waits for a head newer than a version; the result is empty if the wait times out. */
  public CompletableFuture<Optional<WatchedConfiguration>> watch(
      long afterVersion, Duration timeout) {
    return store.watch(HEAD, afterVersion, timeout).thenCompose(this::load);
  }

  private CompletableFuture<AcceptedConfiguration> attempt(Acceptance acceptance, int attempt) {
    return store.read(HEAD).thenCompose(head -> acceptAfterHead(acceptance, head, attempt));
  }

  private CompletableFuture<AcceptedConfiguration> acceptAfterHead(
      Acceptance acceptance, Optional<StoredObject> stored, int attempt) {
    ConfigurationChange change = acceptance.change;
    Optional<ConfigurationHead> head = stored.map(PlatformConfigurationStore::decodeHead);
    Optional<AcceptedChange> earlier = head.flatMap(h -> h.findRecent(change.applyId()));
    if (earlier.isPresent()) {
      return resultOfRepeatedApply(acceptance, earlier.get());
    }
    long number = head.map(ConfigurationHead::number).orElse(0L);
    if (change.expectedNumber() >= 0 && change.expectedNumber() != number) {
      return CompletableFuture.failedFuture(conflict(change, head));
    }
    if (attempt > MAX_ATTEMPTS) {
      return CompletableFuture.failedFuture(unavailable(acceptance));
    }
    long version = stored.map(StoredObject::version).orElse(ObjectStore.ABSENT);
    return parts
        .write(acceptance.body)
        .thenCompose(hashes -> writeHead(acceptance, head, version, hashes, attempt));
  }

  private CompletableFuture<AcceptedConfiguration> writeHead(
      Acceptance acceptance,
      Optional<ConfigurationHead> head,
      long version,
      List<String> hashes,
      int attempt) {
    ConfigurationChange change = acceptance.change;
    long previous = head.map(ConfigurationHead::number).orElse(0L);
    AcceptedChange accepted =
        new AcceptedChange(
            previous + 1,
            change.applyId(),
            change.author(),
            clock.get().toEpochMilli(),
            acceptance.bodySha256);
    List<AcceptedChange> recent = new ArrayList<>();
    recent.add(accepted);
    head.ifPresent(h -> recent.addAll(h.recent()));
    List<AcceptedChange> kept = recent.subList(0, Math.min(MAX_RECENT_CHANGES, recent.size()));
    ConfigurationHead next = new ConfigurationHead(previous + 1, previous, hashes, kept);
    return store
        .write(HEAD, DeploymentCodec.encodeValue(next), version)
        .handle((ignored, failure) -> handleWriteResult(acceptance, accepted, failure, attempt))
        .thenCompose(result -> result);
  }

  private CompletableFuture<AcceptedConfiguration> handleWriteResult(
      Acceptance acceptance, AcceptedChange accepted, Throwable failure, int attempt) {
    if (failure == null) {
      events.record(
          EventType.CONFIGURATION_ACCEPTED,
          EventSubject.NONE,
          accepted.number(),
          accepted.author(),
          accepted.applyId());
      return CompletableFuture.completedFuture(configuration(acceptance.change, accepted));
    }
    BasilportException cause =
        BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.CONFIGURE);
    if (!(cause instanceof ConflictException)) {
      acceptance.mayBeAccepted |= cause.outcome() != Outcome.NOT_RUN;
    }
    return attempt(acceptance, attempt + 1)
        .exceptionally(
            laterFailure -> {
              BasilportException reason =
                  BasilportException.unwrap(laterFailure, Outcome.MAY_HAVE_RUN, Step.CONFIGURE);
              boolean rejected = reason instanceof ConflictException;
              throw rejected || !acceptance.mayBeAccepted ? reason : unavailable(acceptance);
            });
  }

  private CompletableFuture<AcceptedConfiguration> resultOfRepeatedApply(
      Acceptance acceptance, AcceptedChange earlier) {
    if (earlier.bodySha256().equals(acceptance.bodySha256)) {
      return CompletableFuture.completedFuture(configuration(acceptance.change, earlier));
    }
    return CompletableFuture.failedFuture(
        new ConflictException(
            Step.CONFIGURE,
            "platform",
            "apply id "
                + earlier.applyId()
                + " was used for another configuration, number "
                + earlier.number()
                + " of "
                + earlier.author()));
  }

  private ConflictException conflict(ConfigurationChange change, Optional<ConfigurationHead> head) {
    long number = head.map(ConfigurationHead::number).orElse(0L);
    String author = head.map(h -> h.current().author()).orElse("nobody");
    events.record(
        EventType.CONFIGURATION_CONFLICT, EventSubject.NONE, change.author(), number, author);
    return new ConflictException(
        Step.CONFIGURE,
        "platform",
        "configuration "
            + number
            + " of "
            + author
            + " is in force, the change expected number "
            + change.expectedNumber());
  }

  private static UnavailableException unavailable(Acceptance acceptance) {
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE,
        acceptance.mayBeAccepted ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN,
        Step.CONFIGURE,
        "platform",
        RETRY_AFTER,
        "acceptance of apply id "
            + acceptance.change.applyId()
            + (acceptance.mayBeAccepted
                ? " has an unknown outcome, apply it again with the same id"
                : " failed, the configuration is unchanged"),
        null);
  }

  private CompletableFuture<Optional<WatchedConfiguration>> load(Optional<StoredObject> stored) {
    if (stored.isEmpty()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    ConfigurationHead head = decodeHead(stored.get());
    AcceptedChange current = head.current();
    return parts
        .read(head.parts())
        .thenApply(
            body ->
                Optional.of(
                    new WatchedConfiguration(
                        stored.get().version(),
                        new AcceptedConfiguration(
                            current.number(),
                            current.applyId(),
                            current.author(),
                            Instant.ofEpochMilli(current.acceptedAtMillis()),
                            DeploymentCodec.decode(body)))));
  }

  private static AcceptedConfiguration configuration(
      ConfigurationChange change, AcceptedChange accepted) {
    return new AcceptedConfiguration(
        accepted.number(),
        accepted.applyId(),
        accepted.author(),
        Instant.ofEpochMilli(accepted.acceptedAtMillis()),
        change.deployment());
  }

  private static ConfigurationHead decodeHead(StoredObject stored) {
    return DeploymentCodec.decodeValue(stored.value(), ConfigurationHead.class);
  }

  private static HistoryEntry historyEntry(AcceptedChange change) {
    return new HistoryEntry(
        change.number(), change.applyId(), change.author(), change.acceptedAtMillis());
  }

  /** Change whose acceptance is in progress. */
  private static final class Acceptance {
    private final ConfigurationChange change;
    private final String bodySha256;
    private final byte[] body;
    private boolean mayBeAccepted;

    Acceptance(ConfigurationChange change, String bodySha256, byte[] body) {
      this.change = change;
      this.bodySha256 = bodySha256;
      this.body = body;
    }
  }
}
