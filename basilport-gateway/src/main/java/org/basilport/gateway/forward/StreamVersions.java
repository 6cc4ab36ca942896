package org.basilport.gateway.forward;

import com.google.common.hash.Hashing;
import io.netty.channel.EventLoop;
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
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.policy.dispatch.BegunStreams;
import org.basilport.policy.dispatch.ServedVersions;

/**
 * Determines the software version at which a stream may be taken up, also at another instance and
 * after all instances have lost their memory. Confined to the event loop thread.
 *
 * <p>While one version serves, the instances store nothing for a stream. While several do, each
 * instance stores the versions of its unfinished streams in one object.
 */
public final class StreamVersions {
  /** Time after the longest timeout of a stream in which callers may still take it up. */
  private static final long RETENTION_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Interval of reads of the archive, which take-ups at one instance share. */
  private static final long READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /**
   * Age of the proof of freshness above which the list of servers may be out of date too, since the
   * store has not responded; a well instance has one of up to two long polls of 1.2 s.
   */
  private static final long MAX_PROOF_AGE_MILLIS = 2_500;

  /** Shortest interval of writes to the archive. */
  private static final long MIN_WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * Interval of writes for each instance of the fleet, so that all instances together make at most
   * 100 writing calls a second.
   */
  private static final long WRITE_INTERVAL_NANOS_PER_INSTANCE = TimeUnit.MILLISECONDS.toNanos(10);

  private final EventLoop eventLoop;
  private final IntSupplier instanceCount;
  private final LongSupplier proofAgeMillis;
  private final BegunStreams begun = new BegunStreams();
  private final Map<String, ServedVersions> servedByService = new HashMap<>();
  private final CoalescedRead<Map<Long, String>> streamReads;
  private final CoalescedRead<Map<String, Set<String>>> versionReads;
  private StreamArchive archive = StreamArchive.NONE;
  private Map<Long, String> saved = Map.of();
  private long retentionNanos = RETENTION_MARGIN_NANOS;
  private boolean pastKnown;
  private boolean formerStreamsRead;
  private boolean directoryCurrent;
  private boolean writeScheduled;

  /**
   * Creates versions without servers and streams.
   *
   * @param firstStart whether the fleet starts for the first time
   * @param instanceCount number of instances of the fleet
   * @param proofAgeMillis age of the proof that this instance knows the latest configuration
   */
  StreamVersions(
      EventLoop eventLoop,
      boolean firstStart,
      IntSupplier instanceCount,
      LongSupplier proofAgeMillis) {
    this.eventLoop = eventLoop;
    this.instanceCount = instanceCount;
    this.proofAgeMillis = proofAgeMillis;
    this.pastKnown = firstStart;
    this.formerStreamsRead = firstStart;
    this.streamReads =
        new CoalescedRead<>(eventLoop, () -> archive.readStreams(), READ_INTERVAL_NANOS);
    this.versionReads =
        new CoalescedRead<>(eventLoop, () -> archive.readServedVersions(), READ_INTERVAL_NANOS);
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

  /** Sets whether this instance hears at once of servers that are added. */
  public void setDirectoryCurrent(boolean current) {
    directoryCurrent = current;
  }

  /** Replaces the listed servers. */
  void list(Collection<ServerEntry> servers) {
    long now = System.nanoTime();
    Map<String, Set<String>> versions =
        servers.stream()
            .collect(
                Collectors.groupingBy(
                    ServerEntry::service,
                    Collectors.mapping(ServerEntry::version, Collectors.toSet())));
    versions.keySet().forEach(this::served);
    servedByService.forEach(
        (service, served) -> served.list(versions.getOrDefault(service, Set.of()), now));
    saveLater();
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
    if (directoryCurrent && proofAgeMillis.getAsLong() <= MAX_PROOF_AGE_MILLIS) {
      return resolveElsewhere(key, service);
    }
    return versionReads
        .read()
        .thenCompose(
            versions -> {
              addServed(versions);
              return resolveElsewhere(key, service);
            });
  }

  private CompletableFuture<Resolution> resolveElsewhere(Optional<Long> key, String service) {
    Optional<String> only = served(service).only(System.nanoTime(), retentionNanos);
    if (only.isPresent()) {
      return CompletableFuture.completedFuture(new Resolution(only, "only version"));
    }
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
