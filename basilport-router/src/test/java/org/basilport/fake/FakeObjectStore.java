package org.basilport.fake;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.misc.VirtualScheduler;
import org.basilport.platform.ObjectStore;
import org.basilport.platform.StoredObject;

/** In-memory object store with simulated latency and faults that tests enable. */
public final class FakeObjectStore implements ObjectStore {
  /** Time from a call to its effect, and from the effect to the response. */
  public static final Duration LATENCY = Duration.ofMillis(2);

  private static final Duration WRITE_DELAY_AFTER_FAILURE = Duration.ofSeconds(10);

  /** Whether reads and writes fail without an effect. */
  public boolean unavailable;

  /** Number of next writes that take effect and whose response is lost. */
  public int lostResponses;

  /** Whether writes ignore the expected version, so that claims are no longer exclusive. */
  public boolean ignoresVersions;

  /** Whether the response to a write has the replaced version instead of the new one. */
  public boolean returnsReplacedVersion;

  /** Number of writes that took effect. */
  public int writes;

  /** Number of next writes that fail immediately but take effect ten seconds later. */
  public int delayedWrites;

  /** Additional time before a write takes effect. */
  public Duration writeDelay = Duration.ZERO;

  private final VirtualScheduler scheduler;
  private final TreeMap<String, StoredObject> objects = new TreeMap<>();

  /** Creates an empty store. */
  public FakeObjectStore(VirtualScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Returns an object immediately, without simulated latency or faults. */
  public Optional<StoredObject> stored(String name) {
    return Optional.ofNullable(objects.get(name));
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> read(String name) {
    CompletableFuture<Optional<StoredObject>> response = new CompletableFuture<>();
    scheduler.schedule(
        LATENCY,
        () -> {
          Optional<StoredObject> found = stored(name);
          boolean failed = unavailable;
          scheduler.schedule(
              LATENCY,
              () -> {
                if (failed) {
                  response.completeExceptionally(outage());
                } else {
                  response.complete(found);
                }
              });
        });
    return response;
  }

  @Override
  public CompletableFuture<Long> write(String name, byte[] value, long expectedVersion) {
    CompletableFuture<Long> response = new CompletableFuture<>();
    if (delayedWrites > 0) {
      delayedWrites--;
      scheduler.schedule(LATENCY, () -> response.completeExceptionally(outage()));
      CompletableFuture<Long> ignoredResponse = new CompletableFuture<>();
      scheduler.schedule(
          WRITE_DELAY_AFTER_FAILURE,
          () -> applyWrite(name, value, expectedVersion, ignoredResponse));
      return response;
    }
    scheduler.schedule(
        LATENCY.plus(writeDelay), () -> applyWrite(name, value, expectedVersion, response));
    return response;
  }

  private void applyWrite(
      String name, byte[] value, long expectedVersion, CompletableFuture<Long> response) {
    long version = stored(name).map(StoredObject::version).orElse(ABSENT);
    if (unavailable) {
      scheduler.schedule(LATENCY, () -> response.completeExceptionally(outage()));
    } else if (version != expectedVersion && !ignoresVersions) {
      scheduler.schedule(
          LATENCY,
          () -> response.completeExceptionally(new ConflictException(Step.STORE, name, "version")));
    } else {
      objects.put(name, new StoredObject(name, version + 1, value));
      writes++;
      boolean lost = lostResponses > 0;
      lostResponses = Math.max(0, lostResponses - 1);
      scheduler.schedule(
          LATENCY,
          () -> {
            if (lost) {
              response.completeExceptionally(outage());
            } else {
              response.complete(returnsReplacedVersion ? version : version + 1);
            }
          });
    }
  }

  @Override
  public CompletableFuture<Void> delete(String name, long expectedVersion) {
    objects.remove(name);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<List<String>> list(String prefix) {
    List<String> names = objects.keySet().stream().filter(n -> n.startsWith(prefix)).toList();
    return CompletableFuture.completedFuture(names);
  }

  @Override
  public CompletableFuture<Optional<StoredObject>> watch(
      String name, long afterVersion, Duration wait) {
    return read(name);
  }

  private static UnavailableException outage() {
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE,
        Outcome.MAY_HAVE_RUN,
        Step.STORE,
        "platform",
        null,
        "no response",
        null);
  }
}
