package org.basilport.gateway.forward;

import com.google.common.hash.Hashing;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.policy.dispatch.BegunStreams;
import org.basilport.policy.dispatch.ClaimedVersions;
import org.basilport.policy.dispatch.ServedVersions;

/**
 * Determines the software version at which a stream may be taken up, also at another instance and
 * after all instances have lost their memory. Confined to the event loop thread.
 *
 * <p>While one version serves, the instances store nothing for a stream. While several do, each
 * instance stores the versions of its unfinished streams in one object. An instance may be out of
 * step without a sign, so it takes a version for the only one after a read that began after the
 * take-up.
 */
public final class StreamVersions {
  /** Time after the longest timeout of a stream in which callers may still take it up. */
  private static final long RETENTION_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Shortest interval of reads of the archive, which take-ups at one instance share. */
  private static final long MIN_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /**
   * Interval of reads for each instance of the fleet, so that all instances together make at most
   * 333 of each kind a second.
   */
  private static final long READ_INTERVAL_NANOS_PER_INSTANCE = TimeUnit.MILLISECONDS.toNanos(3);

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /** Shortest interval of writes to the archive. */
  private static final long MIN_WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * Interval of writes for each instance of the fleet, so that all instances together make at most
   * 100 writing calls a second.
   */
  private static final long WRITE_INTERVAL_NANOS_PER_INSTANCE = TimeUnit.MILLISECONDS.toNanos(10);

  private final EventLoop eventLoop;
  private final IntSupplier instanceCount;
  private final LongSupplier completeIncarnation;
  private final BegunStreams begun = new BegunStreams();
  private final Map<String, ServedVersions> servedByService = new HashMap<>();
  private final CoalescedRead<Map<Long, String>> streamReads;
  private final CoalescedRead<StoredVersions> versionReads;
  private final ClaimedVersions claimed = new ClaimedVersions();
  private StreamArchive archive = StreamArchive.NONE;
  private Map<Long, String> saved = Map.of();
  private long retentionNanos = RETENTION_MARGIN_NANOS;
  private boolean pastKnown;
  private boolean formerStreamsRead;
  private boolean writeScheduled;

  /**
   * Creates versions without servers and streams.
   *
   * @param firstStart whether the fleet starts for the first time
   * @param instanceCount number of instances of the fleet
   * @param completeIncarnation latest incarnation of the store that is known to be complete
   */
  StreamVersions(
      EventLoop eventLoop,
      boolean firstStart,
      IntSupplier instanceCount,
      LongSupplier completeIncarnation) {
    this.eventLoop = eventLoop;
    this.instanceCount = instanceCount;
    this.completeIncarnation = completeIncarnation;
    this.pastKnown = firstStart;
    this.formerStreamsRead = firstStart;
    this.streamReads =
        new CoalescedRead<>(eventLoop, () -> archive.readStreams(), this::readIntervalNanos);
    this.versionReads =
        new CoalescedRead<>(eventLoop, () -> archive.readVersions(), this::readIntervalNanos);
  }

  private long readIntervalNanos() {
    return Math.max(
        MIN_READ_INTERVAL_NANOS, instanceCount.getAsInt() * READ_INTERVAL_NANOS_PER_INSTANCE);
  }

  /** Sets the archive; to be called before the start. */
  public void setArchive(StreamArchive streamArchive) {
    archive = streamArchive;
  }

  /** Sets the longest time in which a stream is forwarded. */
  void setLongestTimeout(long nanos) {
    retentionNanos = nanos + RETENTION_MARGIN_NANOS;
  }

  /** Time in which a stream may be taken up after its first event, in nanoseconds. */
  public long retentionNanos() {
    return retentionNanos;
  }

  /** Replaces the listed servers. */
  void list(Collection<ServerEntry> servers) {
    long now = System.nanoTime();
    Map<String, Set<String>> versions = versionsByService(servers);
    versions.keySet().forEach(this::served);
    servedByService.forEach(
        (service, served) -> served.list(versions.getOrDefault(service, Set.of()), now));
    saveLater();
  }

  private static Map<String, Set<String>> versionsByService(Collection<ServerEntry> servers) {
    return servers.stream()
        .collect(
            Collectors.groupingBy(
                ServerEntry::service,
                Collectors.mapping(ServerEntry::version, Collectors.toSet())));
  }

  /**
   * Replaces the versions that instances claim to have served recently.
   *
   * @param versions versions by instance and service
   */
  public void claim(Map<String, Map<String, Set<String>>> versions) {
    claimed.replace(versions, System.nanoTime());
  }

  /**
   * Adds versions that other instances, or this one before its start, know to have served.
   *
   * @param versionsByService versions by service; a service without an entry has an unknown past
   */
  public void addServed(Map<String, Set<String>> versionsByService) {
    long now = System.nanoTime();
    versionsByService.forEach(
        (service, versions) -> {
          ServedVersions served = served(service);
          served.add(versions, now);
          served.completePast();
        });
  }

  /** Versions that have served within the time in which streams are taken up, by service. */
  public Map<String, Set<String>> served() {
    long now = System.nanoTime();
    Map<String, Set<String>> versions = new TreeMap<>();
    servedByService.forEach(
        (service, served) -> versions.put(service, served.recent(now, retentionNanos)));
    return versions;
  }

  private ServedVersions served(String service) {
    return servedByService.computeIfAbsent(
        service, name -> new ServedVersions(pastKnown, System.nanoTime()));
  }

  /** Key of a stream; streams of other workspaces and services have other keys. */
  static long key(String workspace, String service, String requestId) {
    return Hashing.murmur3_128()
        .newHasher()
        .putUnencodedChars(workspace)
        .putChar('\n')
        .putUnencodedChars(service)
        .putChar('\n')
        .putUnencodedChars(requestId)
        .hash()
        .asLong();
  }

  /** Records the version of the server that brought the first event of a stream. */
  void begin(long key, String version) {
    remember(key, version);
    saveLater();
  }

  private void remember(long key, String version) {
    long now = System.nanoTime();
    begun.add(key, version, now, now + retentionNanos);
  }

  /** Records that a stream was delivered completely. */
  void complete(long key) {
    begun.complete(key);
  }

  /**
   * Determines the version of a stream that is taken up.
   *
   * @param key key of the stream; empty if the caller names none
   */
  CompletableFuture<Resolution> resolve(Optional<Long> key, String service) {
    Optional<String> own = key.flatMap(begun::version);
    if (own.isPresent()) {
      return CompletableFuture.completedFuture(new Resolution(own, "own stream"));
    }
    if (served(service).recent(System.nanoTime(), retentionNanos).size() > 1) {
      return resolveStored(key);
    }
    return versionReads
        .read()
        .thenCompose(
            versions -> {
              add(versions);
              Optional<String> only = only(service);
              return only.isPresent()
                  ? CompletableFuture.completedFuture(new Resolution(only, "only version"))
                  : resolveStored(key);
            });
  }

  /** Adds what was read; fails if the store may have lost servers or claims. */
  private void add(StoredVersions versions) {
    if (versions.incarnation() > completeIncarnation.getAsLong()) {
      throw new UnavailableException(
          FailureCode.PLATFORM_UNAVAILABLE,
          Outcome.NOT_RUN,
          Step.STORE,
          "incarnation " + versions.incarnation(),
          RETRY_AFTER,
          "the store returned from an older copy and may lack servers",
          null);
    }
    claim(versions.claimed());
    long now = System.nanoTime();
    versionsByService(versions.servers())
        .forEach((service, names) -> served(service).add(names, now));
    saveLater();
  }

  private Optional<String> only(String service) {
    long now = System.nanoTime();
    return served(service).only(claimed.recent(service, now, retentionNanos), now, retentionNanos);
  }

  private CompletableFuture<Resolution> resolveStored(Optional<Long> key) {
    if (key.isEmpty()) {
      return CompletableFuture.completedFuture(new Resolution(Optional.empty(), "unnamed stream"));
    }
    return streamReads
        .read()
        .thenApply(
            versions ->
                new Resolution(Optional.ofNullable(versions.get(key.get())), "stored streams"));
  }

  /** Writes all unfinished streams again, which the archive may have lost. */
  public void saveAgain() {
    saved = Map.of();
    saveLater();
  }

  private void saveLater() {
    if (!writeScheduled && severalVersions()) {
      writeScheduled = true;
      long delayNanos =
          Math.max(
              MIN_WRITE_INTERVAL_NANOS,
              instanceCount.getAsInt() * WRITE_INTERVAL_NANOS_PER_INSTANCE);
      eventLoop.schedule(this::save, delayNanos, TimeUnit.NANOSECONDS);
    }
  }

  private boolean severalVersions() {
    long now = System.nanoTime();
    return servedByService.values().stream()
        .anyMatch(
            served ->
                !served.recent(now, retentionNanos).isEmpty()
                    && served.only(now, retentionNanos).isEmpty());
  }

  /** Saves the streams unless the archive holds all of them. */
  private void save() {
    writeScheduled = false;
    if (!formerStreamsRead) {
      readFormerStreams();
      return;
    }
    Map<Long, String> current = begun.unfinished(System.nanoTime());
    if (!saved.entrySet().containsAll(current.entrySet())) {
      saved = current;
      archive.save(current);
    }
  }

  /** Reads the streams of the former life of this instance, which the next write replaces. */
  private void readFormerStreams() {
    archive
        .readFormerStreams()
        .whenCompleteAsync(
            (streams, failure) -> {
              if (failure == null) {
                formerStreamsRead = true;
                streams.forEach(this::remember);
              }
              saveLater();
            },
            eventLoop);
  }

  /**
   * Version of a stream that is taken up.
   *
   * @param version version at which it may go on; empty if it is not known for certain
   * @param source how it was determined, for events
   */
  record Resolution(Optional<String> version, String source) {}
}
